package org.oriolewell.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.oriolewell.core.eligibility.Reason;
import org.oriolewell.core.overload.CallerHolding;
import org.oriolewell.runtime.net.EventLoop;

/** Prometheus metrics of the gateway. */
final class GatewayMetrics {
  /** Upper bounds of the histogram's buckets, up to the longest deadline in use. */
  private static final double[] FIRST_BYTE_BOUNDS_SECONDS = {
    0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 4, 6, 10, 15
  };

  private final Counter requests;
  private final Counter refusals;
  private final Counter retries;
  private final Histogram firstByteSeconds;
  private final Gauge inFlight;
  private final Gauge openExchanges;
  private final Gauge bufferedBytes;
  private final Gauge viewAge;
  private final Gauge quarantinedParts;
  private final Gauge restrictedUpstreams;
  private final Counter statements;
  private final Counter withdrawals;
  private final Gauge evacuatedZones;
  private final Counter placedElsewhere;
  private final Counter coldPermits;
  private final Gauge coldUpstreams;
  private final Gauge callerBytes;
  private final Gauge callerConnections;
  private final Counter callerLosses;
  private final Gauge upstreamSpeeds;

  private GatewayMetrics(PrometheusRegistry registry) {
    CounterWithCallback.builder()
        .name("oriolewell_event_loop_overlaps_total")
        .help("Tasks that were to run beside another one of their event loop; 0 unless defective.")
        .callback(callback -> callback.call(EventLoop.overlapCount()))
        .register(registry);
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
    firstByteSeconds =
        Histogram.builder()
            .name("oriolewell_gateway_first_byte_seconds")
            .help("Time from a whole request to the first byte of its answer.")
            .labelNames("route")
            .classicUpperBounds(FIRST_BYTE_BOUNDS_SECONDS)
            .classicOnly()
            .register(registry);
    inFlight =
        Gauge.builder()
            .name("oriolewell_gateway_in_flight")
            .help("Requests in progress.")
            .register(registry);
    openExchanges =
        Gauge.builder()
            .name("oriolewell_gateway_open_exchanges")
            .help("Requests that were read whole and whose callers wait for the answer's end.")
            .register(registry);
    bufferedBytes =
        Gauge.builder()
            .name("oriolewell_gateway_buffered_bytes")
            .help("Bytes kept of answers in progress and of output that callers have not read.")
            .register(registry);
    viewAge =
        Gauge.builder()
            .name("oriolewell_gateway_view_age_seconds")
            .help("Age of the copy of configuration and keys; -1 if nothing is confirmed.")
            .register(registry);
    quarantinedParts =
        Gauge.builder()
            .name("oriolewell_gateway_quarantined_prompt_parts")
            .help("Prompt parts whose requests are refused since they crash engines.")
            .register(registry);
    restrictedUpstreams =
        Gauge.builder()
            .name("oriolewell_gateway_restricted_upstreams")
            .help("Upstreams that get no requests since they have stated to leave or pause.")
            .labelNames("reason")
            .register(registry);
    statements =
        Counter.builder()
            .name("oriolewell_gateway_upstream_statements_total")
            .help("Statements of upstreams that changed what is sent to them, or were odd.")
            .labelNames("kind")
            .register(registry);
    withdrawals =
        Counter.builder()
            .name("oriolewell_gateway_withdrawn_requests_total")
            .help("Requests and calls that were placed again before they were written.")
            .labelNames("reason")
            .register(registry);
    evacuatedZones =
        Gauge.builder()
            .name("oriolewell_gateway_evacuated_zones")
            .help("Availability zones whose upstreams get no more calls.")
            .register(registry);
    coldPermits =
        Counter.builder()
            .name("oriolewell_gateway_cold_permits_total")
            .help("Permits that requests to cold upstreams asked for, by result.")
            .labelNames("result")
            .register(registry);
    coldUpstreams =
        Gauge.builder()
            .name("oriolewell_gateway_cold_upstreams")
            .help("Upstreams that are cold.")
            .register(registry);
    placedElsewhere =
        Counter.builder()
            .name("oriolewell_gateway_placed_elsewhere_total")
            .help("Choices of an upstream that a rule kept from some upstreams, by reason.")
            .labelNames("reason")
            .register(registry);
    callerBytes =
        Gauge.builder()
            .name("oriolewell_gateway_caller_bytes")
            .help("Bytes that callers' connections and requests take up, by kind.")
            .labelNames("kind")
            .register(registry);
    callerConnections =
        Gauge.builder()
            .name("oriolewell_gateway_caller_connections")
            .help("Open connections of callers.")
            .register(registry);
    callerLosses =
        Counter.builder()
            .name("oriolewell_gateway_caller_losses_total")
            .help("Requests refused and connections closed to save memory or descriptors.")
            .labelNames("reason", "workspace")
            .register(registry);
    upstreamSpeeds =
        Gauge.builder()
            .name("oriolewell_gateway_upstream_speed")
            .help("Learned speed of an upstream; 1 is 20 ms between the events of a stream.")
            .labelNames("upstream")
            .register(registry);
  }

  /** Creates the metrics and registers them. */
  static GatewayMetrics register(PrometheusRegistry registry) {
    return new GatewayMetrics(registry);
  }

  /** Counts a request that has ended. */
  void requestEnded(String route, String outcome) {
    requests.labelValues(route, outcome).inc();
  }

  /** Counts a request that was refused without having been executed. */
  void requestRefused(String reason) {
    refusals.labelValues(reason).inc();
  }

  /** Counts a retry at an upstream of a service. */
  void attemptRetried(String service) {
    retries.labelValues(service).inc();
  }

  /** Records the time from a complete request to the first byte of its answer. */
  void observeFirstByte(String route, double seconds) {
    firstByteSeconds.labelValues(route).observe(seconds);
  }

  /** Sets the number of requests in progress. */
  void setInFlight(int requestCount) {
    inFlight.set(requestCount);
  }

  /** Sets the number of requests that were read whole and whose answer has not ended. */
  void setOpenExchanges(int exchangeCount) {
    openExchanges.set(exchangeCount);
  }

  /** Sets the number of bytes that are kept of answers in progress. */
  void setBufferedBytes(long byteCount) {
    bufferedBytes.set(byteCount);
  }

  /** Sets what callers' connections take up. */
  void setCallerBytes(Map<CallerHolding.Kind, Long> bytesByKind) {
    bytesByKind.forEach(
        (kind, bytes) -> callerBytes.labelValues(kind.name().toLowerCase(Locale.ROOT)).set(bytes));
  }

  /** Sets the number of open connections of callers. */
  void setCallerConnections(int connectionCount) {
    callerConnections.set(connectionCount);
  }

  /** Counts a request that was refused, or a connection that was closed, to save memory. */
  void callerLost(String reason, String workspace) {
    callerLosses.labelValues(reason, workspace).inc();
  }

  /** Sets the number of prompt parts in quarantine. */
  void setQuarantined(int partCount) {
    quarantinedParts.set(partCount);
  }

  /** Sets the numbers of upstreams that leave and that pause. */
  void setRestrictedUpstreams(int leavingCount, int pausedCount) {
    restrictedUpstreams.labelValues("leaving").set(leavingCount);
    restrictedUpstreams.labelValues("paused").set(pausedCount);
  }

  /** Counts a statement of an upstream, by its kind. */
  void upstreamStated(String kind) {
    statements.labelValues(kind).inc();
  }

  /** Counts a request or call that was not written since its upstream leaves or pauses. */
  void requestWithdrawn(String reason) {
    withdrawals.labelValues(reason).inc();
  }

  /** Sets the number of evacuated zones. */
  void setEvacuatedZones(int zoneCount) {
    evacuatedZones.set(zoneCount);
  }

  /** Counts the answer to a request for a permit for a cold upstream. */
  void coldPermit(boolean granted) {
    coldPermits.labelValues(granted ? "granted" : "refused").inc();
  }

  /** Sets the number of cold upstreams. */
  void setColdUpstreams(int upstreamCount) {
    coldUpstreams.set(upstreamCount);
  }

  /** Counts the choice of an upstream that rules kept from some upstreams of the service. */
  void placedElsewhere(Set<Reason> reasons) {
    reasons.forEach(reason -> placedElsewhere.labelValues(reason.label()).inc());
  }

  /** Sets the learned speeds by upstream; others are no longer shown. */
  void setUpstreamSpeeds(Map<String, Double> speedsById) {
    upstreamSpeeds.clear();
    speedsById.forEach((id, speed) -> upstreamSpeeds.labelValues(id).set(speed));
  }

  /** Sets the age of the copy of the configuration; -1 if it was never confirmed. */
  void setViewAge(double seconds) {
    viewAge.set(seconds);
  }
}
