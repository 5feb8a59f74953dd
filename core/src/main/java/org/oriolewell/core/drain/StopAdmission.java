package org.oriolewell.core.drain;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a process that is being stopped still starts a request, or sends one to an
 * upstream.
 *
 * <p>Load pattern: during a rolling restart callers go on to send requests to the stopping process
 * on connections that are open. An answer that isn't complete when the process ends is lost, and a
 * request that may not run twice is lost with it. A request that is refused before it was sent
 * costs its caller one new connection to another process.
 */
@FunctionalInterface
public interface StopAdmission {
  /**
   * Allowance for answers that take longer than all recent ones, as a multiple of the longest: the
   * remaining processes serve more requests during the stop.
   */
  int LONGEST_ANSWER_FACTOR = 2;

  /**
   * Returns whether a request is started or sent.
   *
   * @param now monotonic time in nanoseconds
   * @param deadline monotonic time in nanoseconds at which the request ends in any case
   * @param longestAnswer longest recent time from this step to the end of the answer, of requests
   *     of the same kind; null if it isn't known
   */
  boolean admits(long now, long deadline, @Nullable Duration longestAnswer);

  /** Returns the decision of a process that isn't being stopped: each request is admitted. */
  static StopAdmission running() {
    return (now, deadline, longestAnswer) -> true;
  }

  /**
   * Returns a decision that admits a request if it ends in time, either by its deadline or because
   * {@value #LONGEST_ANSWER_FACTOR} times the longest recent answer fits in what is left.
   *
   * @param endsAt monotonic time in nanoseconds at which open requests are ended
   */
  static StopAdmission endingAt(long endsAt) {
    return (now, deadline, longestAnswer) -> {
      if (deadline - endsAt <= 0) {
        return true;
      }
      return longestAnswer != null
          && longestAnswer.multipliedBy(LONGEST_ANSWER_FACTOR).toNanos() <= endsAt - now;
    };
  }

  /** Returns the baseline: no request is admitted once the stop has begun. */
  static StopAdmission refusingAll() {
    return (now, deadline, longestAnswer) -> false;
  }
}
