package org.oriolewell.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Guards against a catalogue of log events that differs from what the program writes. */
class AgentEventTest {
  @Test
  void catalogueListsEveryEventWithItsText() throws Exception {
    assertThat(
            Files.readAllLines(Path.of("../docs/log-events-agent.md")).stream()
                .filter(line -> line.startsWith("| OW-")))
        .containsExactlyElementsOf(
            Arrays.stream(AgentEvent.values())
                .map(
                    event ->
                        "| %s | %s | %s | %s |"
                            .formatted(event.id(), event.name(), event.level(), event.meaning()))
                .toList());
  }
}
