package org.oriolewell.loadtool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/** Writes a report for people, from its JSON. */
final class ReportText {
  private final StringBuilder text = new StringBuilder();

  private ReportText() {}

  static String of(JsonNode report) {
    ReportText writer = new ReportText();
    writer.groups(report);
    writer.stages(report.path("stage_ms"));
    writer.audit(report);
    writer.counters(report.path("counters"));
    writer.added(report.path("added_ms"));
    writer.warnings(report);
    return writer.text.toString();
  }

  private void line(String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values)).append('\n');
  }

  private void groups(JsonNode report) {
    line(
        "%-36s %8s %8s %8s %7s %7s %6s %6s %9s %9s %9s",
        "group",
        "requests",
        "attained",
        "answered",
        "not_run",
        "unknown",
        "broken",
        "failed",
        "p50 ms",
        "p99 ms",
        "max ms");
    group("all", report.path("total"));
    report.path("firms").properties().forEach(e -> group("firm " + e.getKey(), e.getValue()));
    report
        .path("pipelines")
        .properties()
        .forEach(e -> group("pipeline " + e.getKey(), e.getValue()));
    report
        .path("workspaces")
        .properties()
        .forEach(e -> group("workspace " + e.getKey(), e.getValue()));
    report.path("pipelines").properties().forEach(e -> tokens(e.getKey(), e.getValue()));
    JsonNode kinds = report.path("total").path("kinds");
    if (!kinds.isEmpty()) {
      line("refusals by kind: %s", kinds);
    }
  }

  private void group(String name, JsonNode group) {
    JsonNode latency = group.path("latency_ms");
    line(
        "%-36s %8d %7.2f%% %8d %7d %7d %6d %6d %9.2f %9.2f %9.2f",
        name,
        group.path("requests").asInt(),
        group.path("attainment").asDouble() * 100,
        group.path("answered").asInt(),
        group.path("not_run").asInt(),
        group.path("unknown").asInt(),
        group.path("broken").asInt(),
        group.path("failed").asInt(),
        latency.path("p50").asDouble(),
        latency.path("p99").asDouble(),
        latency.path("max").asDouble());
  }

  private void tokens(String name, JsonNode group) {
    if (group.has("first_token_ms")) {
      JsonNode first = group.path("first_token_ms");
      JsonNode gap = group.path("token_gap_ms");
      line(
          "tokens of %s: %d; first after p50 %.2f p95 %.2f ms; gap p50 %.2f p95 %.2f p99 %.2f ms",
          name,
          group.path("tokens").asLong(),
          first.path("p50").asDouble(),
          first.path("p95").asDouble(),
          gap.path("p50").asDouble(),
          gap.path("p95").asDouble(),
          gap.path("p99").asDouble());
    }
  }

  private void stages(JsonNode stages) {
    stages
        .properties()
        .forEach(
            e ->
                line(
                    "stage %-34s count %d p50 %.2f p95 %.2f p99 %.2f ms",
                    e.getKey(),
                    e.getValue().path("count").asLong(),
                    e.getValue().path("p50").asDouble(),
                    e.getValue().path("p95").asDouble(),
                    e.getValue().path("p99").asDouble()));
  }

  private void audit(JsonNode report) {
    JsonNode audit = report.path("audit");
    if (audit.isMissingNode()) {
      return;
    }
    int requests = Math.max(1, report.path("total").path("requests").asInt());
    line(
        "audit: %s; %d executions; %d keys ran more than once; %d outcomes contradict the ledgers;"
            + " of the unknown, %d ran and %d did not",
        audit.path("clean").asBoolean() ? "clean" : "NOT CLEAN",
        audit.path("executions").asLong(),
        audit.path("repeated_count").asInt(),
        audit.path("contradiction_count").asInt(),
        audit.path("unknown_executed").asInt(),
        audit.path("unknown_not_executed").asInt());
    audit
        .path("by_operation")
        .properties()
        .forEach(
            e ->
                line(
                    "  executions of %-24s %d (%.3f for each request)",
                    e.getKey(), e.getValue().asLong(), e.getValue().asDouble() / requests));
    audit.path("repeated").forEach(item -> line("  repeated: %s", item));
    audit.path("contradictions").forEach(item -> line("  contradiction: %s", item));
  }

  /** Lists the counters of stages, bytes and regions; the others are in the JSON report. */
  private void counters(JsonNode counters) {
    counters
        .properties()
        .forEach(
            e -> {
              String name = e.getKey();
              if (name.contains("stage=") || name.contains("bytes") || name.contains("region")) {
                line("counter %s %.3f", name, e.getValue().asDouble());
              }
            });
  }

  private void added(JsonNode added) {
    added
        .properties()
        .forEach(
            e ->
                line(
                    "added to %s: p50 %.3f p95 %.3f p99 %.3f ms",
                    e.getKey(),
                    e.getValue().path("latency_ms_p50").asDouble(),
                    e.getValue().path("latency_ms_p95").asDouble(),
                    e.getValue().path("latency_ms_p99").asDouble()));
  }

  private void warnings(JsonNode report) {
    JsonNode lag = report.path("send_lag_ms");
    line(
        "requests left p50 %.3f p99 %.3f max %.3f ms after their time",
        lag.path("p50").asDouble(), lag.path("p99").asDouble(), lag.path("max").asDouble());
    if (report.path("unfinished").asInt() > 0) {
      line("%d requests had not ended when the run stopped", report.path("unfinished").asInt());
    }
  }
}
