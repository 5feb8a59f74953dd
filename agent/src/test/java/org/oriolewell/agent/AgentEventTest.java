package org.oriolewell.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Tests that the documented list of log events matches the events of the program. */
class AgentEventTest {
  @Test
  void documentListsEveryEventWithItsMeaning() throws Exception {
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
