package org.oriolewell.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.function.IntSupplier;

/** Prometheus metrics of the entry process. */
final class EntryMetrics {
  private final PrometheusRegistry registry;
  private final Counter requestCounter;
  private final Histogram requestSeconds;
  private final Counter retryCounter;
  private final Counter staleMessages;

  EntryMetrics(PrometheusRegistry registry) {
    this.registry = registry;
    requestCounter =
        Counter.builder()
            .name("oriolewell_entry_requests_total")
            .help("Requests by pipeline and result (answered, left, or the kind of problem).")
            .labelNames("pipeline", "result")
            .register(registry);
    requestSeconds =
        Histogram.builder()
            .name("oriolewell_entry_request_seconds")
            .help("Time from the arrival of a request to its end.")
            .labelNames("pipeline")
            .classicOnly()
            .classicUpperBounds(.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30)
            .register(registry);
    retryCounter =
        Counter.builder()
            .name("oriolewell_entry_attempts_total")
            .help("Attempts of stages after the first one, by pipeline.")
            .labelNames("pipeline")
            .register(registry);
    staleMessages =
        Counter.builder()
            .name("oriolewell_entry_stale_messages_total")
            .help("Messages of agents that came late, twice or for another attempt.")
            .register(registry);
  }

  /**
   * Registers a gauge whose value is read at each scrape of the metrics; its name gets the prefix
   * {@code oriolewell_entry_}.
   */
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

  /** Records the end of a request, with its result and its duration from arrival. */
  void ended(String pipeline, String result, Duration duration) {
    requestCounter.labelValues(pipeline, result).inc();
    requestSeconds.labelValues(pipeline).observe(duration.toNanos() / 1e9);
  }

  /** Counts an attempt of a stage after the first one. */
  void retried(String pipeline) {
    retryCounter.labelValues(pipeline).inc();
  }

  /**
   * Counts a message of an agent that was dropped because it arrived late, twice or for another
   * attempt.
   */
  void countStaleMessage() {
    staleMessages.inc();
  }
}
