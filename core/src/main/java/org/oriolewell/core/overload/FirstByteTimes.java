package org.oriolewell.core.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the time from sending a request to an upstream until the first byte of its answer, by
 * route, from observed times. Admission adds it to the expected time of the stages. Not
 * thread-safe.
 */
public final class FirstByteTimes {
  /** Weight of a new sample in the mean and the mean deviation; averages about 10 requests. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /** Mean deviations added to the mean time, so that most requests are faster than expected. */
  private static final double ADDED_DEVIATIONS = 0.5;

  /** Expected milliseconds until the first byte, on a route without observations. */
  private static final double DEFAULT_MILLIS = 200;

  private static final class RouteTimes {
    private double meanMillis = DEFAULT_MILLIS;
    private double meanDeviationMillis = DEFAULT_MILLIS / 4;
  }

  private final Map<String, RouteTimes> byRoute = new HashMap<>();

  private FirstByteTimes() {}

  /** Returns an estimator without observations. */
  public static FirstByteTimes create() {
    return new FirstByteTimes();
  }

  /** Records the milliseconds from sending a request until the first byte of its answer. */
  public void observed(String route, double millis) {
    RouteTimes times = byRoute.computeIfAbsent(route, key -> new RouteTimes());
    times.meanDeviationMillis +=
        (Math.abs(millis - times.meanMillis) - times.meanDeviationMillis) * SAMPLE_WEIGHT;
    times.meanMillis += (millis - times.meanMillis) * SAMPLE_WEIGHT;
  }

  /** Returns the expected milliseconds until the first byte of an answer on a route. */
  public double expectedMillis(String route) {
    RouteTimes times = byRoute.get(route);
    return times == null
        ? DEFAULT_MILLIS
        : times.meanMillis + ADDED_DEVIATIONS * times.meanDeviationMillis;
  }
}
