package org.oriolewell.core.retry;

import java.time.Duration;
import java.util.Optional;
import org.oriolewell.core.route.RequestKind;
import org.oriolewell.core.route.Route;

/**
 * Decides how long the upstream of an attempt may send nothing before another attempt replaces it.
 *
 * <p>A sound upstream may pause for a second or so, under all requests that it runs at once, and
 * then go on. If its streams were closed and sent to other upstreams at that moment, these would
 * process all of their prompts again, the shared retry budget would be used up, and each stream
 * that no other upstream accepts would be lost. A stream is therefore replaced only after a silence
 * that is longer than such a pause. An idempotent request that isn't a stream has nothing to lose,
 * and its answer is short; it is sent again as soon as it would be late.
 */
public final class SilenceLimit {
  /** Longest pause of an upstream that works. */
  static final Duration LONGEST_PAUSE = Duration.ofSeconds(2);

  /**
   * Part of a route's time-out that is left for the attempt that replaces a silent one, as a
   * divisor: half of it.
   */
  private static final int TIMEOUT_DIVISOR = 2;

  private SilenceLimit() {}

  /**
   * Returns the time without data after which an attempt is replaced; empty if it must not be
   * repeated or no attempt is left.
   *
   * @param route route of the request
   * @param attempts number of attempts so far, with the one that is being sent
   */
  public static Optional<Duration> of(Route route, int attempts) {
    if (!route.repeatable() || attempts >= route.maxAttempts()) {
      return Optional.empty();
    }
    if (route.kind() == RequestKind.IDEMPOTENT) {
      return Optional.of(route.latencyTarget());
    }
    Duration pause = min(LONGEST_PAUSE, route.timeout().dividedBy(TIMEOUT_DIVISOR));
    Duration lateStart =
        route.latencyTarget().dividedBy(2).plus(route.eventGapTarget().multipliedBy(2));
    return Optional.of(lateStart.compareTo(pause) > 0 ? lateStart : pause);
  }

  private static Duration min(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? first : second;
  }
}
