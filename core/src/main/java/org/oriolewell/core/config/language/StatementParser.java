package org.oriolewell.core.config.language;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.language.Statement.Comparison;
import org.oriolewell.core.config.language.Statement.Condition;

/**
 * Parses statements of the operators' language.
 *
 * <p>Example: {@code StatementParser.parse("show upstreams where pool = encoders limit 10")}.
 */
public final class StatementParser {
  private static final List<String> FIRST_WORDS =
      List.of(
          "show", "create", "set", "remove", "drain", "restore", "roll", "explain", "wait",
          "history", "diff", "export", "import");

  private final Cursor cursor;

  private StatementParser(Cursor cursor) {
    this.cursor = cursor;
  }

  /**
   * Parses the text of one statement.
   *
   * @throws LanguageException if the text isn't a valid statement; its message names the column and
   *     what the grammar expects there
   */
  public static Statement parse(String text) throws LanguageException {
    StatementParser parser = new StatementParser(new Cursor(Lexer.tokenize(text)));
    Statement statement = parser.statement();
    parser.cursor.expectEnd();
    return statement;
  }

  private Statement statement() throws LanguageException {
    if (ChangeParser.FIRST_WORDS.stream().anyMatch(cursor::isAt)) {
      return new Statement.Change(ChangeParser.parse(cursor));
    }
    return switch (cursor.expectOneOf(FIRST_WORDS)) {
      case "show" -> show();
      case "explain" -> new Statement.Explain(ChangeParser.parse(cursor));
      case "wait" -> {
        cursor.expect("for");
        cursor.expect("version");
        yield new Statement.WaitFor(version());
      }
      case "history" -> new Statement.History();
      case "diff" -> new Statement.Diff(version(), version());
      case "export" -> new Statement.Export();
      default -> new Statement.Import(cursor.name("a file name"));
    };
  }

  private long version() throws LanguageException {
    return cursor.integer("a version", 0, Long.MAX_VALUE);
  }

  private Statement.Show show() throws LanguageException {
    List<String> subjectWords = Arrays.stream(Subject.values()).map(Subject::word).toList();
    Subject subject = Subject.values()[subjectWords.indexOf(cursor.expectOneOf(subjectWords))];
    List<Condition> conditions = new ArrayList<>();
    if (cursor.acceptIf("where")) {
      do {
        conditions.add(condition(subject));
      } while (cursor.acceptIf("and"));
    }
    @Nullable String groupBy = null;
    if (cursor.acceptIf("group")) {
      cursor.expect("by");
      groupBy = cursor.expectOneOf(subject.fields());
    }
    @Nullable String orderBy = null;
    boolean descending = false;
    if (cursor.acceptIf("order")) {
      cursor.expect("by");
      orderBy =
          cursor.expectOneOf(groupBy == null ? subject.fields() : groupedFields(subject, groupBy));
      descending = cursor.acceptIf("desc");
      if (!descending) {
        cursor.acceptIf("asc");
      }
    }
    int limit = cursor.acceptIf("limit") ? (int) cursor.integer("a number", 1, 10_000) : 0;
    return new Statement.Show(subject, conditions, groupBy, orderBy, descending, limit);
  }

  private static List<String> groupedFields(Subject subject, String groupBy) {
    List<String> fields = new ArrayList<>(List.of(groupBy, "count"));
    fields.addAll(subject.summedFields());
    return fields;
  }

  private Condition condition(Subject subject) throws LanguageException {
    String field = cursor.expectOneOf(subject.fields());
    Comparison comparison = comparison();
    Token valueToken = cursor.peek();
    String text = cursor.name("a value");
    Optional<Long> millis =
        valueToken.kind() == Token.Kind.WORD ? Cursor.parseMillis(text) : Optional.empty();
    return new Condition(field, comparison, millis.map(String::valueOf).orElse(text));
  }

  private Comparison comparison() throws LanguageException {
    Token token = cursor.next();
    return switch (token.kind() == Token.Kind.SYMBOL ? token.text() : "") {
      case "=" -> Comparison.EQUAL;
      case "!=" -> Comparison.NOT_EQUAL;
      case "<" -> Comparison.LESS;
      case "<=" -> Comparison.AT_MOST;
      case ">" -> Comparison.GREATER;
      case ">=" -> Comparison.AT_LEAST;
      default -> throw Cursor.error(token, "one of =, !=, <, <=, >, >=");
    };
  }
}
