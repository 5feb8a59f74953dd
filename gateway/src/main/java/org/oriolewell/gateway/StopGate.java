package org.oriolewell.gateway;

import java.time.Duration;
import org.oriolewell.core.drain.AnswerTimes;
import org.oriolewell.core.drain.StopAdmission;
import org.oriolewell.core.route.Route;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Decides which requests are still started, and sent to upstreams, while the gateway is being
 * stopped. Admits all before. Used on the event loop only.
 */
final class StopGate {
  private final EventLoop loop;
  private final AnswerTimes requestTimes = AnswerTimes.create();
  private final AnswerTimes attemptTimes = AnswerTimes.create();
  private StopAdmission admission = StopAdmission.running();

  StopGate(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Begins a stop.
   *
   * @param endsAt monotonic time in nanoseconds at which open requests are ended
   */
  void stop(long endsAt) {
    admission = StopAdmission.endingAt(endsAt);
  }

  /** Returns whether a request that was read can be answered before the stop ends. */
  boolean mayStart(Route route, long deadline) {
    return admits(requestTimes, route, deadline);
  }

  /** Returns whether an upstream can answer a request before the stop ends. */
  boolean maySend(Route route, long deadline) {
    return admits(attemptTimes, route, deadline);
  }

  private boolean admits(AnswerTimes times, Route route, long deadline) {
    long now = loop.now();
    return admission.admits(now, deadline, times.longest(route.name(), now));
  }

  /**
   * Records a complete answer, which ends now.
   *
   * @param startedAt monotonic time in nanoseconds at which the request was read
   * @param sentAt monotonic time in nanoseconds at which its last attempt began
   */
  void answered(Route route, long startedAt, long sentAt) {
    long now = loop.now();
    requestTimes.observed(route.name(), Duration.ofNanos(now - startedAt), now);
    attemptTimes.observed(route.name(), Duration.ofNanos(now - sentAt), now);
  }
}
