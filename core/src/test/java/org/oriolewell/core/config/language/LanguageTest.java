package org.oriolewell.core.config.language;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.config.ConfigChange;
import org.oriolewell.core.config.PipelineSpec;
import org.oriolewell.core.config.StageSpec;

/** Guards against a parser that differs from docs/language.md, and against unclear errors. */
class LanguageTest {
  private static List<String> codeBlockLines(String language) throws IOException {
    List<String> lines = new ArrayList<>();
    boolean insideBlock = false;
    for (String line : Files.readAllLines(Path.of("../docs/language.md"))) {
      if (line.startsWith("```")) {
        insideBlock = line.equals("```" + language);
      } else if (insideBlock) {
        lines.add(line);
      }
    }
    return lines;
  }

  // Guards against documented examples that don't parse, and undocumented forms and subjects.
  @Test
  void everyStatementFormHasAnExampleThatParses() throws Exception {
    Set<Class<?>> seenForms = new HashSet<>();
    Set<Subject> seenSubjects = new HashSet<>();
    for (String example : codeBlockLines("statement")) {
      Statement statement = StatementParser.parse(example);
      seenForms.add(statement.getClass());
      if (statement instanceof Statement.Change change) {
        seenForms.add(change.change().getClass());
      } else if (statement instanceof Statement.Show show) {
        seenSubjects.add(show.subject());
      }
    }
    Set<Class<?>> expectedForms =
        new HashSet<>(Arrays.asList(Statement.class.getPermittedSubclasses()));
    expectedForms.addAll(Arrays.asList(ConfigChange.class.getPermittedSubclasses()));
    expectedForms.remove(ConfigChange.Replace.class);
    assertThat(seenForms).containsExactlyInAnyOrderElementsOf(expectedForms);
    assertThat(seenSubjects).containsExactlyInAnyOrder(Subject.values());
  }

  // Guards against error messages that differ from those in docs/language.md.
  @Test
  void errorsNameTheColumnAndWhatWasExpected() throws Exception {
    List<String> errorLines = codeBlockLines("text");
    assertThat(errorLines).hasSizeGreaterThan(8);
    for (String line : errorLines) {
      int columnStart = line.indexOf(" column ");
      String text = line.substring(0, columnStart).stripTrailing();
      assertThatThrownBy(() -> StatementParser.parse(text))
          .isInstanceOf(LanguageException.class)
          .hasMessage(line.substring(columnStart + 1));
    }
  }

  // Guards against stage options that the parser drops or confuses.
  @Test
  void allStageOptionsAreParsed() throws Exception {
    Statement statement =
        StatementParser.parse(
            "create pipeline p deadline 11s stages a@x, b@y operation o non-idempotent min 2s,"
                + " c@z min 200ms model m tokens 512");
    assertThat(statement)
        .isEqualTo(
            new Statement.Change(
                new ConfigChange.CreatePipeline(
                    "p",
                    new PipelineSpec(
                        11_000,
                        List.of(
                            new StageSpec("a", "x", "a", true, 0, null, 0),
                            new StageSpec("b", "y", "o", false, 2000, null, 0),
                            new StageSpec("c", "z", "c", true, 200, "m", 512))))));
  }

  // Guards against failures other than a LanguageException with a column inside the text.
  @Property(tries = 5000, seed = "20260506")
  void anyTextIsParsedOrRefusedWithColumn(
      @ForAll
          @StringLength(max = 30)
          @Chars({'s', 'h', 'o', 'w', ' ', '"', '\\', '=', '<', '!', '9', '@', ','})
          String text) {
    for (String prefix : List.of("", "show requests where age ", "create pipeline p ")) {
      try {
        StatementParser.parse(prefix + text);
      } catch (LanguageException e) {
        assertThat(e.column()).isBetween(1, prefix.length() + text.length() + 1);
      }
    }
  }

  // Guards against query answers that differ if the rows come from several processes.
  @Test
  void rowsAreFilteredGroupedOrderedAndLimited() throws Exception {
    List<Map<String, Object>> rows =
        List.of(
            Map.of("host", "a", "pool", "p", "queued", 2),
            Map.of("host", "b", "pool", "q", "queued", 10),
            Map.of("host", "c", "pool", "p", "queued", 9));
    assertThat(answer("show upstreams where queued > 2 order by queued desc limit 1", rows))
        .containsExactly(rows.get(1));
    assertThat(answer("show upstreams group by pool order by pool", rows))
        .containsExactly(
            Map.of("pool", "p", "count", 2L, "queued", 11L, "in_flight", 0L, "limit", 0L),
            Map.of("pool", "q", "count", 1L, "queued", 10L, "in_flight", 0L, "limit", 0L));
    assertThat(answer("show upstreams where host != a and pool = p", rows))
        .containsExactly(rows.get(2));
  }

  private static List<Map<String, Object>> answer(String text, List<Map<String, Object>> rows)
      throws LanguageException {
    Statement.Show show = (Statement.Show) StatementParser.parse(text);
    List<Map<String, Object>> contributions = new ArrayList<>();
    contributions.addAll(Rows.contribution(show, rows.subList(0, 1)));
    contributions.addAll(Rows.contribution(show, rows.subList(1, 3)));
    return Rows.answer(show, contributions);
  }
}
