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
  private static final List<String> OPENERS =
      List.of(
          "show", "create", "set", "remove", "drain", "restore", "roll", "explain", "wait",
          "history", "diff", "export", "import");

  private final Cursor cursor;

  private StatementParser(Cursor cursor) {
    this.cursor = cursor;
  }

  /**
   * Parses one statement.
   *
   * @throws LanguageException if the text isn't a statement; names the column and what was expected
   */
  public static Statement parse(String text) throws LanguageException {
    StatementParser parser = new StatementParser(new Cursor(Lexer.tokens(text)));
    Statement statement = parser.statement();
    parser.cursor.end();
    return statement;
  }

  private Statement statement() throws LanguageException {
    if (ChangeParser.OPENERS.stream().anyMatch(cursor::at)) {
      return new Statement.Change(ChangeParser.change(cursor));
    }
    return switch (cursor.choice(OPENERS)) {
      case "show" -> show();
      case "explain" -> new Statement.Explain(ChangeParser.change(cursor));
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
    List<String> words = Arrays.stream(Subject.values()).map(Subject::word).toList();
    Subject subject = Subject.values()[words.indexOf(cursor.choice(words))];
    List<Condition> conditions = new ArrayList<>();
    if (cursor.skip("where")) {
      do {
        conditions.add(condition(subject));
      } while (cursor.skip("and"));
    }
    @Nullable String groupBy = null;
    if (cursor.skip("group")) {
      cursor.expect("by");
      groupBy = cursor.choice(subject.fields());
    }
    @Nullable String orderBy = null;
    boolean descending = false;
    if (cursor.skip("order")) {
      cursor.expect("by");
      orderBy = cursor.choice(groupBy == null ? subject.fields() : grouped(subject, groupBy));
      descending = cursor.skip("desc");
      if (!descending) {
        cursor.skip("asc");
      }
    }
    int limit = cursor.skip("limit") ? (int) cursor.integer("a number", 1, 10_000) : 0;
    return new Statement.Show(subject, conditions, groupBy, orderBy, descending, limit);
  }

  private static List<String> grouped(Subject subject, String groupBy) {
    List<String> fields = new ArrayList<>(List.of(groupBy, "count"));
    fields.addAll(subject.sums());
    return fields;
  }

  private Condition condition(Subject subject) throws LanguageException {
    String field = cursor.choice(subject.fields());
    Comparison comparison = comparison();
    Token value = cursor.peek();
    String text = cursor.name("a value");
    Optional<Long> millis =
        value.kind() == Token.Kind.WORD ? Cursor.millis(text) : Optional.empty();
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
