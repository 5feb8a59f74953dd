package org.oriolewell.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a page of log events that differs from the program. */
class CtlLogEventsTest {
  @Test
  void pageListsEveryEvent() throws Exception {
    List<String> events =
        Arrays.stream(CtlEvent.values())
            .map(e -> String.join(" | ", "| " + e.id(), e.name(), e.level() + "", e.meaning()))
            .map(row -> row + " |")
            .toList();
    List<String> page =
        Files.readAllLines(Path.of("../docs/log-events-ctl.md")).stream()
            .filter(line -> line.startsWith("| OW-"))
            .toList();
    assertThat(page).containsExactlyElementsOf(events);
  }
}
