package org.oriolewell.core.overload;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells how long a caller has waited before this attempt. Callers of a route begin with about the
 * same patience and state what is left of it; one that states much less has tried before. Not
 * thread-safe.
 */
public final class CallerPatience {
  /** Part of the longest patience that a first attempt states at least. */
  private static final double LEAST_SHARE = 0.84;

  /** Part of the longest patience that a first attempt states on average. */
  private static final double MEAN_SHARE = 0.92;

  private final Map<String, Duration> longest = new HashMap<>();

  private CallerPatience() {}

  /** Returns a state without observations. */
  public static CallerPatience create() {
    return new CallerPatience();
  }

  /**
   * Records what a caller states.
   *
   * @return the time that it has waited in earlier attempts; zero for a first one
   */
  public Duration waitedBefore(String route, Duration stated) {
    Duration usual = longest.merge(route, stated, (a, b) -> a.compareTo(b) > 0 ? a : b);
    if (stated.toNanos() >= usual.toNanos() * LEAST_SHARE) {
      return Duration.ZERO;
    }
    return Duration.ofNanos((long) (usual.toNanos() * MEAN_SHARE) - stated.toNanos());
  }
}
