package org.oriolewell.core.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the time from sending a request to an upstream until the first byte of its answer, by
 * route, from observed times. Admission adds it to the expected time of the stages. Without new
 * observations an estimate ages towards the one of a route without observations. Not thread-safe.
 */
public final class FirstByteTimes {
  /** Mean deviations added to the mean time, so that most requests are faster than expected. */
  private static final double ADDED_DEVIATIONS = 0.5;

  /** Expected milliseconds until the first byte, on a route without observations. */
  private static final double DEFAULT_MILLIS = 200;

  private static final double DEFAULT_DEVIATION_MILLIS = DEFAULT_MILLIS / 4;

  /** Largest observed time that counts, as a multiple of the expected time; limits outliers. */
  private static final double MAX_OBSERVED_RATIO = 4;

  private static final class RouteTimes {
    private final AgingMean meanMillis;
    private final AgingMean meanDeviationMillis;

    private RouteTimes(long now) {
      meanMillis = AgingMean.startingAt(DEFAULT_MILLIS, now);
      meanDeviationMillis = AgingMean.startingAt(DEFAULT_DEVIATION_MILLIS, now);
    }

    private double expectedMillis(long now) {
      return meanMillis.valueAt(now) + ADDED_DEVIATIONS * meanDeviationMillis.valueAt(now);
    }
  }

  private final Map<String, RouteTimes> byRoute = new HashMap<>();

  private FirstByteTimes() {}

  /** Returns an estimator without observations. */
  public static FirstByteTimes create() {
    return new FirstByteTimes();
  }

  /**
   * Records the milliseconds from sending a request until the first byte of its answer.
   *
   * @param now monotonic time in nanoseconds
   */
  public void observed(String route, double millis, long now) {
    RouteTimes times = byRoute.computeIfAbsent(route, key -> new RouteTimes(now));
    double limitedMillis = Math.min(millis, MAX_OBSERVED_RATIO * times.expectedMillis(now));
    times.meanMillis.add(limitedMillis, now);
    times.meanDeviationMillis.add(Math.abs(limitedMillis - times.meanMillis.valueAt(now)), now);
  }

  /**
   * Returns the expected milliseconds until the first byte of an answer on a route.
   *
   * @param now monotonic time in nanoseconds
   */
  public double expectedMillis(String route, long now) {
    RouteTimes times = byRoute.get(route);
    return times == null ? DEFAULT_MILLIS : times.expectedMillis(now);
  }
}
