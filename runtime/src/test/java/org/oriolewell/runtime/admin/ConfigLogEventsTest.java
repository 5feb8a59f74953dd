package org.oriolewell.runtime.admin;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.config.ConfigEvent;
import org.oriolewell.runtime.log.LogEvent;

/** Guards against a page of log events that differs from the program. */
class ConfigLogEventsTest {
  @Test
  void pageListsEveryEvent() throws Exception {
    List<String> events =
        Stream.<LogEvent>concat(
                Arrays.stream(ConfigEvent.values()), Arrays.stream(AdminEvent.values()))
            .map(e -> String.join(" | ", "| " + e.id(), e.name(), e.level() + "", e.meaning()))
            .map(row -> row + " |")
            .toList();
    List<String> page =
        Files.readAllLines(Path.of("../docs/log-events-config.md")).stream()
            .filter(line -> line.startsWith("| OW-"))
            .toList();
    assertThat(page).containsExactlyElementsOf(events);
  }
}
