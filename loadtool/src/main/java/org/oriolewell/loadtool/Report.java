package org.oriolewell.loadtool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** The report of a run. */
final class Report {
  private static final List<String> COMPARED = List.of("latency_ms", "first_token_ms");
  private static final List<String> PERCENTILES = List.of("p50", "p95", "p99");

  private final Workload workload;
  private final Tally tally;
  private final @Nullable Audit audit;
  private final Map<String, Double> counters;
  private final @Nullable JsonNode baseline;

  /**
   * Creates a report.
   *
   * @param audit audit of the run; null if there was none
   * @param counters rise of the processes' counters; empty if they weren't read
   * @param baseline earlier report to compare with, as JSON; null for none
   */
  Report(
      Workload workload,
      Tally tally,
      @Nullable Audit audit,
      Map<String, Double> counters,
      @Nullable JsonNode baseline) {
    this.workload = workload;
    this.tally = tally;
    this.audit = audit;
    this.counters = counters;
    this.baseline = baseline;
  }

  /** Returns the measures of all requests. */
  Group total() {
    return groups(traffic -> "all").getOrDefault("all", new Group());
  }

  private Map<String, Group> groups(Function<Workload.Traffic, String> name) {
    Map<String, Group> groups = new TreeMap<>();
    for (Ended ended : tally.ended()) {
      boolean ranTwice = audit != null && audit.ranTwice(ended.key());
      groups.computeIfAbsent(name.apply(ended.traffic()), n -> new Group()).add(ended, ranTwice);
    }
    for (Workload.Traffic traffic : workload.traffics()) {
      Group group = groups.get(name.apply(traffic));
      if (group != null) {
        group.gaps.add(tally.gaps(traffic));
      }
    }
    groups.remove("");
    return groups;
  }

  private Map<String, Object> groupsJson(Function<Workload.Traffic, String> name) {
    Map<String, Object> json = new TreeMap<>();
    groups(name).forEach((key, group) -> json.put(key, group.json()));
    return json;
  }

  /** Returns the report as JSON. */
  Map<String, Object> json() {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("seed", workload.seed());
    json.put("duration_ms", workload.duration().toMillis());
    json.put("warmup_ms", workload.warmup().toMillis());
    json.put("unfinished", tally.unfinished());
    json.put("send_lag_ms", tally.sendLag.json());
    json.put("total", total().json());
    json.put("pipelines", groupsJson(Workload.Traffic::pipeline));
    json.put("workspaces", groupsJson(Workload.Traffic::workspace));
    json.put("firms", groupsJson(Workload.Traffic::firm));
    Map<String, Object> stages = new TreeMap<>();
    tally.stages().forEach((name, times) -> stages.put(name, times.json()));
    json.put("stage_ms", stages);
    if (audit != null) {
      json.put("audit", audit.json());
    }
    if (!counters.isEmpty()) {
      json.put("counters", counters);
    }
    if (baseline != null) {
      json.put("added_ms", added(baseline));
    }
    return json;
  }

  /** Returns by how much the times of each pipeline exceed those of the baseline. */
  private Map<String, Object> added(JsonNode earlier) {
    Map<String, Object> added = new TreeMap<>();
    groups(Workload.Traffic::pipeline)
        .forEach(
            (name, group) -> {
              JsonNode before = earlier.path("pipelines").path(name);
              Map<String, Object> differences = new LinkedHashMap<>();
              for (String measure : COMPARED) {
                Timings now = measure.equals("latency_ms") ? group.latency : group.firstToken;
                compare(differences, measure, now, before.path(measure));
              }
              added.put(name, differences);
            });
    return added;
  }

  private static void compare(
      Map<String, Object> differences, String measure, Timings now, JsonNode before) {
    if (before.isMissingNode() || now.count() == 0) {
      return;
    }
    for (String percentile : PERCENTILES) {
      double value = now.millis(Double.parseDouble(percentile.substring(1)));
      differences.put(measure + "_" + percentile, value - before.path(percentile).asDouble());
    }
  }
}
