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
  private long acceptingUntil;
  private long endsAt;

  StopGate(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Begins a stop.
   *
   * @param latestEndOfAccepting monotonic time in nanoseconds from which requests count as late,
   *     unless {@link #stopAccepting} says so earlier
   * @param newEndsAt monotonic time in nanoseconds at which open requests are ended
   */
  void stop(long latestEndOfAccepting, long newEndsAt) {
    acceptingUntil = latestEndOfAccepting;
    endsAt = newEndsAt;
    admission = StopAdmission.endingAt(acceptingUntil, endsAt);
  }

  /**
   * Ends the time in which requests on new connections are expected.
   *
   * @param readUntil monotonic time in nanoseconds until which requests that have waited are read
   */
  void stopAccepting(long readUntil) {
    if (readUntil - acceptingUntil < 0) {
      admission = StopAdmission.endingAt(readUntil, endsAt);
    }
  }

  /**
   * Returns whether a request can be answered before the stop ends.
   *
   * @param readAt monotonic time in nanoseconds at which the request was read
   * @param deadline monotonic time in nanoseconds at which the request ends in any case
   */
  boolean mayStart(Route route, long readAt, long deadline) {
    return admits(requestTimes, route, readAt, deadline);
  }

  /**
   * Returns whether an upstream can answer a request before the stop ends.
   *
   * @param readAt monotonic time in nanoseconds at which the request was read
   * @param deadline monotonic time in nanoseconds at which the request ends in any case
   */
  boolean maySend(Route route, long readAt, long deadline) {
    return admits(attemptTimes, route, readAt, deadline);
  }

  private boolean admits(AnswerTimes times, Route route, long readAt, long deadline) {
    long now = loop.now();
    return admission.admits(now, readAt, deadline, times.recent(route.name(), now));
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
