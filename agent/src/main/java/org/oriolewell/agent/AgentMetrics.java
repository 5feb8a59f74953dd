package org.oriolewell.agent;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Supplier;
import org.oriolewell.runtime.wire.Message;

/** Prometheus metrics of the agent, named {@code oriolewell_agent_*}. */
final class AgentMetrics {
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter answeredCalls =
      Counter.builder()
          .name("oriolewell_agent_calls_answered_total")
          .help("Calls that were answered.")
          .register(registry);
  private final Counter refusedCalls =
      Counter.builder()
          .name("oriolewell_agent_calls_refused_total")
          .help("Calls that were refused, by kind and outcome.")
          .labelNames("kind", "outcome")
          .register(registry);
  private final Counter tokensReceived =
      Counter.builder()
          .name("oriolewell_agent_tokens_total")
          .help("Tokens received from the upstream.")
          .register(registry);
  private final Counter storeCalls =
      Counter.builder()
          .name("oriolewell_agent_store_calls_total")
          .help("Calls to the key-value service for shards and orders, by kind.")
          .labelNames("call")
          .register(registry);
  private final Histogram upstreamSeconds =
      Histogram.builder()
          .name("oriolewell_agent_upstream_seconds")
          .help("Time of calls at the upstream, in seconds.")
          .classicUpperBounds(0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10)
          .classicOnly()
          .register(registry);

  PrometheusRegistry registry() {
    return registry;
  }

  void callAnswered() {
    answeredCalls.inc();
  }

  void callRefused(Refusal refusal) {
    refusedCalls.labelValues(lowerCaseName(refusal.kind()), lowerCaseName(refusal.outcome())).inc();
  }

  void addTokens(int count) {
    tokensReceived.inc(count);
  }

  void storeCalled(String operation) {
    storeCalls.labelValues(operation).inc();
  }

  void upstreamCallEnded(Duration duration) {
    upstreamSeconds.observe(duration.toNanos() / 1e9);
  }

  /** Registers gauges of the agent's load, which is read at each scrape. */
  void addLoadGauges(Supplier<Message.Load> load) {
    gauge("oriolewell_agent_in_flight", "Calls at the upstream.", () -> load.get().inFlight());
    gauge("oriolewell_agent_queued", "Calls that wait.", () -> load.get().queued());
    gauge("oriolewell_agent_limit", "Concurrency limit.", () -> load.get().limit());
  }

  private void gauge(String name, String help, Supplier<Integer> value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(metric -> metric.call(value.get()))
        .register(registry);
  }

  private static String lowerCaseName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
