package org.oriolewell.core.overload;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long a caller has waited in earlier attempts of the same request. Each attempt
 * states the time that the caller is still willing to wait (its patience). First attempts on a
 * route state about the same time, so an attempt that states much less is a retry. Not thread-safe.
 */
public final class CallerPatience {
  /** Smallest share of the route's longest stated patience that a first attempt states. */
  private static final double MIN_FIRST_ATTEMPT_SHARE = 0.84;

  /** Mean share of the route's longest stated patience that a first attempt states. */
  private static final double MEAN_FIRST_ATTEMPT_SHARE = 0.92;

  private final Map<String, Duration> longestStatedByRoute = new HashMap<>();

  private CallerPatience() {}

  /** Returns an estimator without observations. */
  public static CallerPatience create() {
    return new CallerPatience();
  }

  /**
   * Records the patience that an attempt states.
   *
   * @param route name of the route
   * @param statedPatience time that the caller is still willing to wait
   * @return estimated time that the caller has waited in earlier attempts; zero for a first attempt
   */
  public Duration waitedBefore(String route, Duration statedPatience) {
    Duration longestStated =
        longestStatedByRoute.merge(route, statedPatience, (a, b) -> a.compareTo(b) > 0 ? a : b);
    if (statedPatience.toNanos() >= longestStated.toNanos() * MIN_FIRST_ATTEMPT_SHARE) {
      return Duration.ZERO;
    }
    return Duration.ofNanos(
        (long) (longestStated.toNanos() * MEAN_FIRST_ATTEMPT_SHARE) - statedPatience.toNanos());
  }
}
