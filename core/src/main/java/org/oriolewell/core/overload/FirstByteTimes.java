package org.oriolewell.core.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Observed times from sending a request to an upstream until the first byte of its answer, by
 * route. Admission adds them to the time of the stages. Not thread-safe.
 */
public final class FirstByteTimes {
  /** Weight of a new observation; about the last ten requests count. */
  private static final double WEIGHT = 0.1;

  /** Deviations added to the mean, so that most requests are faster than expected. */
  private static final double DEVIATIONS = 0.5;

  /** Expected time of a route without observations. */
  private static final double FIRST_MILLIS = 200;

  private static final class Observed {
    private double mean = FIRST_MILLIS;
    private double deviation = FIRST_MILLIS / 4;
  }

  private final Map<String, Observed> byRoute = new HashMap<>();

  private FirstByteTimes() {}

  /** Returns a state without observations. */
  public static FirstByteTimes create() {
    return new FirstByteTimes();
  }

  /** Records a time. */
  public void observed(String route, double millis) {
    Observed seen = byRoute.computeIfAbsent(route, r -> new Observed());
    seen.deviation += (Math.abs(millis - seen.mean) - seen.deviation) * WEIGHT;
    seen.mean += (millis - seen.mean) * WEIGHT;
  }

  /** Returns the expected time of a route. */
  public double expectedMillis(String route) {
    Observed seen = byRoute.get(route);
    return seen == null ? FIRST_MILLIS : seen.mean + DEVIATIONS * seen.deviation;
  }
}
