package org.oriolewell.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counters and histograms of the gateway. */
final class GatewayMetrics {
  /** Upper bounds in seconds, from a plain answer to the longest deadline in use. */
  private static final double[] LATENCY_BOUNDS = {
    0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 4, 6, 10, 15
  };

  private final Counter requests;
  private final Counter refusals;
  private final Counter retries;
  private final Histogram latency;
  private final Gauge inFlight;
  private final Gauge viewAge;

  private GatewayMetrics(PrometheusRegistry registry) {
    requests =
        Counter.builder()
            .name("oriolewell_gateway_requests_total")
            .help("Requests that ended, by route and outcome.")
            .labelNames("route", "outcome")
            .register(registry);
    refusals =
        Counter.builder()
            .name("oriolewell_gateway_refusals_total")
            .help("Requests that were refused without having run, by reason.")
            .labelNames("reason")
            .register(registry);
    retries =
        Counter.builder()
            .name("oriolewell_gateway_retries_total")
            .help("Second attempts at upstreams, by service.")
            .labelNames("service")
            .register(registry);
    latency =
        Histogram.builder()
            .name("oriolewell_gateway_first_byte_seconds")
            .help("Time from a whole request to the first byte of its answer.")
            .labelNames("route")
            .classicUpperBounds(LATENCY_BOUNDS)
            .classicOnly()
            .register(registry);
    inFlight =
        Gauge.builder()
            .name("oriolewell_gateway_in_flight")
            .help("Requests in progress.")
            .register(registry);
    viewAge =
        Gauge.builder()
            .name("oriolewell_gateway_view_age_seconds")
            .help("Age of the copy of configuration and keys; -1 if nothing is confirmed.")
            .register(registry);
  }

  /** Returns metrics that are registered. */
  static GatewayMetrics register(PrometheusRegistry registry) {
    return new GatewayMetrics(registry);
  }

  void ended(String route, String outcome) {
    requests.labelValues(route, outcome).inc();
  }

  void refused(String reason) {
    refusals.labelValues(reason).inc();
  }

  void retried(String service) {
    retries.labelValues(service).inc();
  }

  void firstByte(String route, double seconds) {
    latency.labelValues(route).observe(seconds);
  }

  void inFlight(int value) {
    inFlight.set(value);
  }

  void viewAge(double seconds) {
    viewAge.set(seconds);
  }
}
