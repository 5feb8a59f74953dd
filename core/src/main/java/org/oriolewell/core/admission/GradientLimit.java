package org.oriolewell.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Concurrency limit that follows the upstream's latency. The ratio of the measured latency to the
 * latency without load of the same operation shows how far the upstream is beyond its saturation
 * point: above a tolerated ratio the limit shrinks in proportion, below it the limit grows by a
 * small step while calls use it.
 *
 * <p>The latency without load is the lowest mean over a window of calls, not the lowest single
 * time, since times of one operation vary. It rises slowly, so that an upstream that became slower
 * permanently is not held at the minimum limit forever.
 */
public final class GradientLimit implements ConcurrencyLimit {
  /**
   * Largest latency ratio that is not treated as overload. Calls beyond the saturation point wait
   * in the upstream instead of the queue, which costs less than free slots: in the queue model 1.25
   * lost 5 in 100 requests at 1.2 of the capacity.
   */
  private static final double TOLERATED_LATENCY_RATIO = 1.5;

  /** Part of the distance to a new target by which the limit changes in one update. */
  private static final double LIMIT_SMOOTHING = 0.25;

  /**
   * Smallest number of calls over which latencies are averaged; the mean of fewer is too noisy to
   * compare.
   */
  private static final int MIN_WINDOW_CALLS = 64;

  /** Largest number of operations with a baseline; others don't change the limit. */
  private static final int MAX_BASELINES = 256;

  private final int minConcurrency;
  private final int maxConcurrency;
  private final Map<String, Baseline> baselines = new HashMap<>();
  private double limit;
  private double latencyRatioSum;
  private int ratioSamples;
  private int maxInFlight;

  private GradientLimit(int minConcurrency, int initialConcurrency, int maxConcurrency) {
    this.minConcurrency = minConcurrency;
    this.maxConcurrency = maxConcurrency;
    this.limit = initialConcurrency;
  }

  /**
   * Returns a limit that starts at an initial value and stays between a minimum and a maximum.
   *
   * @param minConcurrency smallest number of concurrent calls, at least 1
   * @param initialConcurrency number of concurrent calls at the start
   * @param maxConcurrency largest number of concurrent calls
   */
  public static GradientLimit create(
      int minConcurrency, int initialConcurrency, int maxConcurrency) {
    if (minConcurrency < 1
        || initialConcurrency < minConcurrency
        || maxConcurrency < initialConcurrency) {
      throw new IllegalArgumentException(
          "concurrency limits must satisfy 1 <= minimum <= initial <= maximum");
    }
    return new GradientLimit(minConcurrency, initialConcurrency, maxConcurrency);
  }

  @Override
  public int limit() {
    return (int) limit;
  }

  @Override
  public void completed(String operation, long latencyNanos, int inFlight) {
    Baseline baseline = baselines.get(operation);
    if (baseline == null) {
      if (baselines.size() >= MAX_BASELINES) {
        return;
      }
      baseline = new Baseline();
      baselines.put(operation, baseline);
    }
    baseline.add(latencyNanos, inFlight <= limit / 2);
    if (baseline.isKnown()) {
      latencyRatioSum += latencyNanos / baseline.unloadedNanos;
      ratioSamples++;
      maxInFlight = Math.max(maxInFlight, inFlight);
      if (ratioSamples >= Math.max(MIN_WINDOW_CALLS, 4 * limit)) {
        update();
      }
    }
  }

  @Override
  public void timedOut() {
    limit = Math.max(minConcurrency, limit * 0.9);
  }

  /** Moves the limit by the mean latency ratio of the calls since the last update. */
  private void update() {
    double meanRatio = latencyRatioSum / ratioSamples;
    double gradient = Math.max(0.5, Math.min(1, TOLERATED_LATENCY_RATIO / meanRatio));
    double step = Math.max(1, 0.05 * limit);
    double targetLimit = limit * gradient + step;
    boolean limitUsed = maxInFlight >= limit / 2;
    if (targetLimit < limit || limitUsed) {
      limit =
          Math.max(
              minConcurrency,
              Math.min(maxConcurrency, limit + LIMIT_SMOOTHING * (targetLimit - limit)));
    }
    latencyRatioSum = 0;
    ratioSamples = 0;
    maxInFlight = 0;
  }

  /** Estimated latency without load of one operation. */
  private static final class Baseline {
    private double unloadedNanos;
    private double windowSumNanos;
    private int windowCalls;

    /** Whether at most half of the limit was in use for all calls of the current window. */
    private boolean onlyLightLoad = true;

    private boolean isKnown() {
      return unloadedNanos > 0;
    }

    private void add(long latencyNanos, boolean lightlyLoaded) {
      windowSumNanos += latencyNanos;
      onlyLightLoad &= lightlyLoaded;
      if (++windowCalls < MIN_WINDOW_CALLS) {
        return;
      }
      double meanNanos = windowSumNanos / windowCalls;
      if (unloadedNanos == 0) {
        unloadedNanos = meanNanos;
      } else if (meanNanos < unloadedNanos) {
        unloadedNanos += 0.3 * (meanNanos - unloadedNanos);
      } else {
        unloadedNanos += (onlyLightLoad ? 0.05 : 0.002) * (meanNanos - unloadedNanos);
      }
      windowSumNanos = 0;
      windowCalls = 0;
      onlyLightLoad = true;
    }
  }
}
