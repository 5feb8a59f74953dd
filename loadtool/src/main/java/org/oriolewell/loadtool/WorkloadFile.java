package org.oriolewell.loadtool;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Reads and checks workload files. */
final class WorkloadFile {
  private static final Set<String> ROOT_KEYS =
      Set.of("seed", "duration_ms", "warmup_ms", "traffic", "phase");
  private static final Set<String> TRAFFIC_KEYS =
      Set.of(
          "pipeline",
          "workspace",
          "firm",
          "rate",
          "deadline_ms",
          "priority",
          "stream",
          "keys",
          "retries",
          "settle",
          "input_bytes",
          "prefix_bytes",
          "prefix_groups",
          "direct");
  private static final Set<String> DIRECT_KEYS = Set.of("kind", "operation", "max_tokens");
  private static final Set<String> PHASE_KEYS = Set.of("from_ms", "to_ms", "factor", "match");
  private static final Set<String> DIRECT_KINDS = Set.of("engine", "pool", "service");

  private final List<String> problems = new ArrayList<>();

  /** Reports all problems of a workload file; its author must act. */
  static final class WorkloadException extends Exception {
    private static final long serialVersionUID = 1L;

    WorkloadException(List<String> problems) {
      super(String.join(System.lineSeparator(), problems));
    }
  }

  private WorkloadFile() {}

  static Workload read(Path file) throws WorkloadException {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw new WorkloadException(List.of(file + " cannot be read (" + e + "); name a TOML file."));
    }
  }

  static Workload parse(String toml) throws WorkloadException {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(toml);
    } catch (IOException e) {
      throw new WorkloadException(List.of("The workload is not valid TOML: " + e.getMessage()));
    }
    WorkloadFile file = new WorkloadFile();
    Workload workload = file.workload(root);
    if (!file.problems.isEmpty()) {
      throw new WorkloadException(file.problems);
    }
    return workload;
  }

  private Workload workload(JsonNode root) {
    known("", root, ROOT_KEYS);
    List<Workload.Traffic> traffics = new ArrayList<>();
    root.path("traffic").forEach(node -> traffics.add(traffic(node, traffics.size())));
    if (traffics.isEmpty()) {
      problems.add("There is no [[traffic]]; add at least one.");
    }
    List<Workload.Phase> phases = new ArrayList<>();
    root.path("phase").forEach(node -> phases.add(phase(node, phases.size())));
    return new Workload(
        root.path("seed").asLong(1),
        millis(root, "", "duration_ms", 10_000),
        millis(root, "", "warmup_ms", 0),
        traffics,
        phases);
  }

  private Workload.Traffic traffic(JsonNode node, int index) {
    String place = "traffic[" + index + "].";
    known(place, node, TRAFFIC_KEYS);
    return new Workload.Traffic(
        text(node, place, "pipeline"),
        text(node, place, "workspace"),
        node.path("firm").asText(""),
        number(node, place, "rate", -1),
        millis(node, place, "deadline_ms", 11_000),
        node.path("priority").asInt(-1),
        node.path("stream").asBoolean(false),
        keys(node, place),
        (int) number(node, place, "retries", 0),
        node.path("settle").asBoolean(false),
        (int) number(node, place, "input_bytes", 200),
        (int) number(node, place, "prefix_bytes", 0),
        (int) number(node, place, "prefix_groups", 1),
        direct(node.path("direct"), place + "direct."));
  }

  private Workload.@Nullable Direct direct(JsonNode node, String place) {
    if (node.isMissingNode()) {
      return null;
    }
    known(place, node, DIRECT_KEYS);
    String kind = text(node, place, "kind");
    if (!DIRECT_KINDS.contains(kind)) {
      problems.add(place + "kind must be one of engine, pool, service.");
    }
    return new Workload.Direct(
        kind, node.path("operation").asText(""), (int) number(node, place, "max_tokens", 64));
  }

  private Workload.Phase phase(JsonNode node, int index) {
    String place = "phase[" + index + "].";
    known(place, node, PHASE_KEYS);
    return new Workload.Phase(
        millis(node, place, "from_ms", -1),
        millis(node, place, "to_ms", -1),
        number(node, place, "factor", -1),
        node.path("match").asText(""));
  }

  private Workload.Keys keys(JsonNode node, String place) {
    String name = node.path("keys").asText("none");
    for (Workload.Keys keys : Workload.Keys.values()) {
      if (keys.name().toLowerCase(Locale.ROOT).equals(name)) {
        return keys;
      }
    }
    problems.add(place + "keys must be one of none, uuid, time.");
    return Workload.Keys.NONE;
  }

  private void known(String place, JsonNode node, Set<String> keys) {
    node.properties()
        .forEach(
            member -> {
              if (!keys.contains(member.getKey())) {
                problems.add(place + member.getKey() + " is not known; see docs/load-tool.md.");
              }
            });
  }

  private String text(JsonNode node, String place, String key) {
    String value = node.path(key).asText("");
    if (value.isEmpty()) {
      problems.add(place + key + " is missing; set it.");
    }
    return value;
  }

  /** Returns a number that must not be negative; a negative fallback makes it mandatory. */
  private double number(JsonNode node, String place, String key, double fallback) {
    double value = node.path(key).asDouble(fallback);
    if (value < 0 || (node.has(key) && !node.path(key).isNumber())) {
      problems.add(place + key + " must be a number that is not negative.");
      return 0;
    }
    return value;
  }

  private Duration millis(JsonNode node, String place, String key, long fallback) {
    return Duration.ofMillis((long) number(node, place, key, fallback));
  }
}
