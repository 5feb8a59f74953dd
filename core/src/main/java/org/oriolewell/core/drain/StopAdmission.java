package org.oriolewell.core.drain;

import org.jspecify.annotations.Nullable;
import org.oriolewell.core.drain.AnswerTimes.Recent;

/**
 * Decides whether a process that is being stopped still starts a request, or sends one to an
 * upstream.
 *
 * <p>Load pattern: during a rolling restart callers go on to send requests to the stopping process,
 * first on new connections, until all balancers know that it stops, then on connections that are
 * open. An answer that isn't complete when the process ends is lost, and a request that may not run
 * twice is lost with it. A request that is refused before it was sent costs its caller a new
 * connection, and the processes that take over the load.
 */
@FunctionalInterface
public interface StopAdmission {
  /**
   * Allowance for answers that take longer than all recent ones, as a multiple of the longest. Used
   * for the few requests that come late on open connections, each of which another process can
   * take.
   */
  int LONGEST_ANSWER_FACTOR = 2;

  /**
   * Returns whether a request is started or sent.
   *
   * @param now monotonic time in nanoseconds
   * @param readAt monotonic time in nanoseconds at which the request was read
   * @param deadline monotonic time in nanoseconds at which the request ends in any case
   * @param recent times from this step to the end of the answer, of requests of the same kind; null
   *     if they aren't known
   */
  boolean admits(long now, long readAt, long deadline, @Nullable Recent recent);

  /** Returns the decision of a process that isn't being stopped: each request is admitted. */
  static StopAdmission running() {
    return (now, readAt, deadline, recent) -> true;
  }

  /**
   * Returns a decision that admits a request if it ends in time: by its deadline, or because the
   * usual answer fits in what is left. If the request was read after new connections have ended,
   * {@value #LONGEST_ANSWER_FACTOR} times the longest recent answer must fit.
   *
   * @param acceptingUntil monotonic time in nanoseconds until which connections are accepted
   * @param endsAt monotonic time in nanoseconds at which open requests are ended
   */
  static StopAdmission endingAt(long acceptingUntil, long endsAt) {
    return (now, readAt, deadline, recent) -> {
      if (deadline - endsAt <= 0) {
        return true;
      }
      if (recent == null) {
        return false;
      }
      boolean late = readAt - acceptingUntil > 0;
      long neededNanos =
          late
              ? recent.longest().multipliedBy(LONGEST_ANSWER_FACTOR).toNanos()
              : recent.usual().toNanos();
      return neededNanos <= endsAt - now;
    };
  }

  /** Returns the baseline: no request is admitted once the stop has begun. */
  static StopAdmission refusingAll() {
    return (now, readAt, deadline, recent) -> false;
  }
}
