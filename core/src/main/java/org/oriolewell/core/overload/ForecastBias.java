package org.oriolewell.core.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Corrects forecasts by what became of earlier ones.
 *
 * <p>Load pattern: a forecast counts the work that is known when a request arrives. During a burst
 * more urgent work arrives afterwards and passes by, so forecasts are too short just when they
 * matter. The mean error of the last requests of a route is added to its next forecasts.
 *
 * <p>Not thread-safe.
 */
public final class ForecastBias {
  /** Weight of a new error; about the last eight requests of a route count. */
  private static final double WEIGHT = 0.12;

  /** Bounds of the correction in milliseconds; a wrong one must not shut a route out for long. */
  private static final double MAX_MILLIS = 800;

  private static final double MIN_MILLIS = -200;

  /** Part of the mean error that is corrected, so that the correction doesn't overshoot. */
  private static final double SHARE = 0.5;

  private final Map<String, Double> byRoute = new HashMap<>();

  private ForecastBias() {}

  /** Returns a state without errors. */
  public static ForecastBias create() {
    return new ForecastBias();
  }

  /** Records how long a request took and what had been forecast, without correction. */
  public void observed(String route, double forecastMillis, double actualMillis) {
    double error = Math.max(MIN_MILLIS, Math.min(2 * MAX_MILLIS, actualMillis - forecastMillis));
    byRoute.merge(route, error * WEIGHT, (bias, part) -> bias + WEIGHT * (error - bias));
  }

  /** Returns the correction of a route's forecasts in milliseconds. */
  public double millis(String route) {
    double bias = byRoute.getOrDefault(route, 0.0);
    return Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, bias * SHARE));
  }

  /** Reduces a route's correction after a refusal, so that a shut-out route is tried again. */
  public void refused(String route) {
    byRoute.computeIfPresent(route, (name, bias) -> bias * (1 - WEIGHT / 4));
  }
}
