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
   * Returns a decision that admits a request if it ends in time by its deadline. A request that was
   * read while new connections were accepted is admitted as well if the usual answer fits in what
   * is left. A later one isn't: recent answers don't bound how long another one takes, and each of
   * these few requests can be taken by another process.
   *
   * @param acceptingUntil monotonic time in nanoseconds until which connections are accepted
   * @param endsAt monotonic time in nanoseconds at which open requests are ended
   */
  static StopAdmission endingAt(long acceptingUntil, long endsAt) {
    return (now, readAt, deadline, recent) -> {
      if (deadline - endsAt <= 0) {
        return true;
      }
      boolean late = readAt - acceptingUntil > 0;
      return !late && recent != null && recent.usual().toNanos() <= endsAt - now;
    };
  }

  /** Returns the baseline: no request is admitted once the stop has begun. */
  static StopAdmission refusingAll() {
    return (now, readAt, deadline, recent) -> false;
  }
}
