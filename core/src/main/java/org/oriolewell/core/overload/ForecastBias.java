package org.oriolewell.core.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Corrects forecasts of the time until a request's first answer byte by the mean error of earlier
 * forecasts of the same route.
 *
 * <p>A forecast counts the work that is known when a request arrives. During a load burst more
 * urgent work arrives afterwards and runs first, so forecasts are too short just when they matter.
 *
 * <p>Not thread-safe.
 */
public final class ForecastBias {
  /** Weight of a new sample in the mean forecast error; averages about 8 requests of a route. */
  private static final double SAMPLE_WEIGHT = 0.12;

  /**
   * Largest correction of a forecast in milliseconds, so that a wrong correction doesn't make
   * admission refuse all requests of a route for long.
   */
  private static final double MAX_CORRECTION_MILLIS = 800;

  private static final double MIN_CORRECTION_MILLIS = -200;

  /**
   * Share of the mean forecast error that is corrected, so that the correction doesn't overshoot.
   */
  private static final double CORRECTED_SHARE = 0.5;

  private final Map<String, Double> meanErrorByRoute = new HashMap<>();

  private ForecastBias() {}

  /** Returns a correction without observed forecast errors. */
  public static ForecastBias create() {
    return new ForecastBias();
  }

  /** Records a request's uncorrected forecast and its actual time until the first answer byte. */
  public void observed(String route, double forecastMillis, double actualMillis) {
    double errorMillis =
        Math.max(
            MIN_CORRECTION_MILLIS,
            Math.min(2 * MAX_CORRECTION_MILLIS, actualMillis - forecastMillis));
    meanErrorByRoute.merge(
        route,
        errorMillis * SAMPLE_WEIGHT,
        (meanErrorMillis, weightedError) ->
            meanErrorMillis + SAMPLE_WEIGHT * (errorMillis - meanErrorMillis));
  }

  /**
   * Returns the milliseconds to add to a forecast of a route; negative if forecasts are too long.
   */
  public double correctionMillis(String route) {
    double meanErrorMillis = meanErrorByRoute.getOrDefault(route, 0.0);
    return Math.max(
        MIN_CORRECTION_MILLIS, Math.min(MAX_CORRECTION_MILLIS, meanErrorMillis * CORRECTED_SHARE));
  }

  /** Reduces a route's correction after a refused request, so that later requests are accepted. */
  public void refused(String route) {
    meanErrorByRoute.computeIfPresent(
        route, (key, meanErrorMillis) -> meanErrorMillis * (1 - SAMPLE_WEIGHT / 4));
  }
}
