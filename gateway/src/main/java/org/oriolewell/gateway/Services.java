package org.oriolewell.gateway;

import java.time.Duration;
import org.oriolewell.core.overload.CallerPatience;
import org.oriolewell.core.overload.FirstByteTimes;
import org.oriolewell.core.overload.ForecastBias;
import org.oriolewell.core.placement.Placement;
import org.oriolewell.core.placement.UpstreamHealth;
import org.oriolewell.core.retry.SharedRetryBudget;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/**
 * What the requests of a node share.
 *
 * @param loop event loop
 * @param control configuration and upstreams
 * @param client connections to upstreams
 * @param dialect headers on the wire
 * @param desk stages
 * @param regions regions of the zones
 * @param health observations of upstreams
 * @param placement choice of upstreams
 * @param firstByteTimes observed times of upstreams
 * @param bias correction of forecasts
 * @param patience what callers state of their patience
 * @param budget second attempts
 * @param metrics counters
 * @param log decisions
 */
record Services(
    EventLoop loop,
    ControlPlane control,
    UpstreamClient client,
    RequestDialect dialect,
    StageDesk desk,
    Regions regions,
    UpstreamHealth health,
    Placement placement,
    FirstByteTimes firstByteTimes,
    ForecastBias bias,
    CallerPatience patience,
    SharedRetryBudget budget,
    GatewayMetrics metrics,
    EventLog log) {

  /** Returns the milliseconds between two moments. */
  static long millis(long from, long to) {
    return Duration.ofNanos(to - from).toMillis();
  }
}
