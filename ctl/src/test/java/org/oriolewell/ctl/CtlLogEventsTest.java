package org.oriolewell.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a documentation page of log events that differs from {@link CtlEvent}. */
class CtlLogEventsTest {
  @Test
  void pageListsEveryEvent() throws Exception {
    List<String> expectedRows =
        Arrays.stream(CtlEvent.values())
            .map(
                event ->
                    String.join(
                        " | ",
                        "| " + event.id(),
                        event.name(),
                        event.level() + "",
                        event.meaning()))
            .map(row -> row + " |")
            .toList();
    List<String> documentedRows =
        Files.readAllLines(Path.of("../docs/log-events-ctl.md")).stream()
            .filter(line -> line.startsWith("| OW-"))
            .toList();
    assertThat(documentedRows).containsExactlyElementsOf(expectedRows);
  }
}
