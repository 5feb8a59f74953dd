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

/** Guards against log events that differ from those listed in docs/log-events-config.md. */
class ConfigLogEventsTest {
  @Test
  void pageListsEveryEvent() throws Exception {
    List<String> eventRows =
        Stream.<LogEvent>concat(
                Arrays.stream(ConfigEvent.values()), Arrays.stream(AdminEvent.values()))
            .map(e -> String.join(" | ", "| " + e.id(), e.name(), e.level() + "", e.meaning()))
            .map(row -> row + " |")
            .toList();
    List<String> pageRows =
        Files.readAllLines(Path.of("../docs/log-events-config.md")).stream()
            .filter(line -> line.startsWith("| OW-"))
            .toList();
    assertThat(pageRows).containsExactlyElementsOf(eventRows);
  }
}
