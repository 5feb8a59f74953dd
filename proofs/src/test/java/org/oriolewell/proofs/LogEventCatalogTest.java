package org.oriolewell.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.log.LogEvent;

/**
 * Guards against log events that the catalog lacks, and against entries for events that are gone.
 */
class LogEventCatalogTest {
  private static final Path DOCS = Path.of("..", "docs");
  private static final List<String> EVENTS =
      List.of(
          "runtime.log.RuntimeEvent",
          "runtime.config.ConfigEvent",
          "runtime.admin.AdminEvent",
          "entry.EntryEvent",
          "gateway.GatewayEvent",
          "agent.AgentEvent",
          "ctl.CtlEvent",
          "standins.StandinEvent",
          "loadtool.LoadEvent");

  @Test
  void catalogAndCodeListTheSameEvents() throws IOException {
    Map<String, String> code = new TreeMap<>();
    EVENTS.stream()
        .flatMap(LogEventCatalogTest::events)
        .forEach(event -> assertThat(code.put(event.id(), row(event))).as(event.id()).isNull());

    assertThat(catalog()).containsExactlyInAnyOrderElementsOf(code.values());
  }

  /** Returns the constants of an enum, which may be package-private. */
  private static Stream<LogEvent> events(String name) {
    try {
      Object[] constants = Class.forName("org.oriolewell." + name).getEnumConstants();
      return Stream.of(constants).map(LogEvent.class::cast);
    } catch (ClassNotFoundException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String row(LogEvent event) {
    return "| "
        + String.join(" | ", event.id(), event.name(), event.level().getName(), event.meaning())
        + " |";
  }

  private static List<String> catalog() throws IOException {
    try (Stream<Path> files = Files.list(DOCS)) {
      return files
          .filter(file -> file.getFileName().toString().startsWith("log-events"))
          .flatMap(LogEventCatalogTest::rows)
          .collect(Collectors.toList());
    }
  }

  private static Stream<String> rows(Path file) {
    try {
      return Files.readAllLines(file).stream().filter(line -> line.matches("\\| OW-\\d{4} .*"));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
