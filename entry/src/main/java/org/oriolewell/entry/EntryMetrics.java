package org.oriolewell.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.function.IntSupplier;

/** Metrics of the entry. */
final class EntryMetrics {
  private final PrometheusRegistry registry;
  private final Counter requests;
  private final Histogram seconds;
  private final Counter retries;
  private final Counter stale;

  EntryMetrics(PrometheusRegistry registry) {
    this.registry = registry;
    requests =
        Counter.builder()
            .name("oriolewell_entry_requests_total")
            .help("Requests by pipeline and result (answered, left, or the kind of problem).")
            .labelNames("pipeline", "result")
            .register(registry);
    seconds =
        Histogram.builder()
            .name("oriolewell_entry_request_seconds")
            .help("Time from the arrival of a request to its end.")
            .labelNames("pipeline")
            .classicOnly()
            .classicUpperBounds(.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30)
            .register(registry);
    retries =
        Counter.builder()
            .name("oriolewell_entry_attempts_total")
            .help("Attempts of stages after the first one, by pipeline.")
            .labelNames("pipeline")
            .register(registry);
    stale =
        Counter.builder()
            .name("oriolewell_entry_stale_messages_total")
            .help("Messages of agents that came late, twice or for another attempt.")
            .register(registry);
  }

  /** Registers a gauge whose value is read when metrics are scraped. */
  void gauge(String name, String help, IntSupplier value) {
    GaugeWithCallback.builder()
        .name("oriolewell_entry_" + name)
        .help(help)
        .callback(callback -> callback.call(value.getAsInt()))
        .register(registry);
  }

  PrometheusRegistry registry() {
    return registry;
  }

  /** Counts the end of a request. */
  void ended(String pipeline, String result, Duration time) {
    requests.labelValues(pipeline, result).inc();
    seconds.labelValues(pipeline).observe(time.toNanos() / 1e9);
  }

  /** Counts a second or later attempt. */
  void retried(String pipeline) {
    retries.labelValues(pipeline).inc();
  }

  /** Counts a message that had no effect. */
  void stale() {
    stale.inc();
  }
}
