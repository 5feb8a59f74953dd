package org.oriolewell.core.overload;

import java.time.Duration;

/**
 * Mean of samples that arrive at uneven intervals and only while requests are accepted. A sample
 * weighs as much as the time since the sample before it, so that many samples of one moment, such
 * as the answers of an upstream that was stalled, count as one. Without new samples the mean ages
 * towards its prior: an estimate that admission has refused requests for would otherwise never
 * change.
 *
 * <p>Not thread-safe.
 */
final class AgingMean {
  /** Time after which the weight of earlier samples is half. */
  static final Duration HALF_LIFE = Duration.ofSeconds(1);

  /** Largest weight of one sample; after a pause the prior has the rest. */
  private static final double MAX_SAMPLE_WEIGHT = 0.5;

  private final double prior;
  private double mean;
  private long updatedAt;

  private AgingMean(double prior, long now) {
    this.prior = prior;
    this.mean = prior;
    this.updatedAt = now;
  }

  /**
   * Returns a mean without samples.
   *
   * @param prior value without samples
   * @param now monotonic time in nanoseconds
   */
  static AgingMean startingAt(double prior, long now) {
    return new AgingMean(prior, now - HALF_LIFE.toNanos());
  }

  /**
   * Records a sample.
   *
   * @param now monotonic time in nanoseconds
   */
  void add(double sample, long now) {
    double sampleWeight = Math.min(MAX_SAMPLE_WEIGHT, 1 - remainingWeight(now));
    mean = valueAt(now) + sampleWeight * (sample - prior);
    updatedAt = Math.max(updatedAt, now);
  }

  /**
   * Returns the mean.
   *
   * @param now monotonic time in nanoseconds
   */
  double valueAt(long now) {
    return prior + (mean - prior) * remainingWeight(now);
  }

  /** Returns the share of an earlier value that remains, from 0 to 1. */
  private double remainingWeight(long now) {
    return Math.pow(0.5, Math.max(0, now - updatedAt) / (double) HALF_LIFE.toNanos());
  }
}
