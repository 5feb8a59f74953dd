package org.oriolewell.gateway;

import java.time.Duration;
import org.oriolewell.core.capacity.SharedCapacity;
import org.oriolewell.core.capacity.UnansweredWork;
import org.oriolewell.core.eligibility.EligibilityCheck;
import org.oriolewell.core.overload.CallerPatience;
import org.oriolewell.core.overload.FirstByteTimes;
import org.oriolewell.core.overload.ForecastBias;
import org.oriolewell.core.placement.Placement;
import org.oriolewell.core.placement.UpstreamHealth;
import org.oriolewell.core.retry.SharedRetryBudget;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/**
 * The components of a gateway that all its requests share.
 *
 * @param loop event loop
 * @param control configuration, upstreams and other gateways
 * @param client HTTP client for upstreams
 * @param dialect codec of request and answer headers
 * @param stageCoordinator runs the stages that precede requests
 * @param regions region of each availability zone
 * @param health requests in flight and recent failures of each upstream
 * @param unansweredWork this gateway's work at each upstream that has not been answered
 * @param capacity learned speeds and loads of the upstreams
 * @param placement chooses an upstream for an attempt
 * @param firstByteTimes observed times from sending a request to the first byte, by route
 * @param forecastBias observed error of the expected times, by route
 * @param callerPatience estimates how long callers have waited in earlier attempts
 * @param retryBudget limit on retries, shared by all gateways
 * @param crashGuard quarantine of prompt parts that crash engines
 * @param upstreamLimits limits that upstreams name in their answers
 * @param upstreamStatements what upstreams state about themselves in their answers
 * @param eligibility decides which upstreams a call may be sent to
 * @param stopGate decides which requests are started and sent during a stop
 * @param maxAnswerBytes largest accepted body of an upstream's answer, and largest event of a
 *     stream, in bytes
 * @param metrics Prometheus metrics
 * @param log event log
 */
record GatewayComponents(
    EventLoop loop,
    ControlPlane control,
    UpstreamClient client,
    RequestDialect dialect,
    StageCoordinator stageCoordinator,
    Regions regions,
    UpstreamHealth health,
    UnansweredWork unansweredWork,
    SharedCapacity capacity,
    Placement placement,
    FirstByteTimes firstByteTimes,
    ForecastBias forecastBias,
    CallerPatience callerPatience,
    SharedRetryBudget retryBudget,
    CrashGuard crashGuard,
    UpstreamLimits upstreamLimits,
    UpstreamStatements upstreamStatements,
    EligibilityCheck eligibility,
    StopGate stopGate,
    int maxAnswerBytes,
    GatewayMetrics metrics,
    EventLog log) {

  /** Returns the milliseconds between two monotonic times in nanoseconds. */
  static long millisBetween(long fromNanos, long toNanos) {
    return Duration.ofNanos(toNanos - fromNanos).toMillis();
  }
}
