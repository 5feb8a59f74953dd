package org.oriolewell.core.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Corrects forecasts of the time until a request's first answer byte by the mean error of earlier
 * forecasts of the same route.
 *
 * <p>A forecast counts the work that is known when a request arrives. During a load burst more
 * urgent work arrives afterwards and runs first, so forecasts are too short just when they matter.
 * Without new observations, as while all requests of a route are refused, its correction ages
 * towards zero.
 *
 * <p>Not thread-safe.
 */
public final class ForecastBias {
  /** Largest correction of a forecast in milliseconds. */
  private static final double MAX_CORRECTION_MILLIS = 800;

  private static final double MIN_CORRECTION_MILLIS = -200;

  /**
   * Share of the mean forecast error that is corrected, so that the correction doesn't overshoot.
   */
  private static final double CORRECTED_SHARE = 0.5;

  private final Map<String, AgingMean> meanErrorByRoute = new HashMap<>();

  private ForecastBias() {}

  /** Returns a correction without observed forecast errors. */
  public static ForecastBias create() {
    return new ForecastBias();
  }

  /**
   * Records a request's uncorrected forecast and its actual time until the first answer byte.
   *
   * @param now monotonic time in nanoseconds
   */
  public void observed(String route, double forecastMillis, double actualMillis, long now) {
    double errorMillis =
        Math.max(
            MIN_CORRECTION_MILLIS,
            Math.min(2 * MAX_CORRECTION_MILLIS, actualMillis - forecastMillis));
    meanErrorByRoute
        .computeIfAbsent(route, key -> AgingMean.startingAt(0, now))
        .add(errorMillis, now);
  }

  /**
   * Returns the milliseconds to add to a forecast of a route; negative if forecasts are too long.
   *
   * @param now monotonic time in nanoseconds
   */
  public double correctionMillis(String route, long now) {
    AgingMean meanError = meanErrorByRoute.get(route);
    double meanErrorMillis = meanError == null ? 0 : meanError.valueAt(now);
    return Math.max(
        MIN_CORRECTION_MILLIS, Math.min(MAX_CORRECTION_MILLIS, meanErrorMillis * CORRECTED_SHARE));
  }
}
