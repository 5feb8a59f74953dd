package org.oriolewell.core.deadline;

/**
 * Histogram of recent durations in bounded memory, for quantiles. Buckets are logarithmic with 8
 * per power of two, so a quantile is at most 12.5% too high; the range is 1 µs to about 70 minutes.
 * After each {@code samplesPerHalving} samples all counts are halved, so that old samples lose
 * weight. Not thread-safe.
 */
public final class LatencyHistogram {
  private static final int SUB_BUCKET_BITS = 3;
  private static final int SUB_BUCKETS = 1 << SUB_BUCKET_BITS;
  private static final int POWERS_OF_TWO = 32;

  private final int[] bucketCounts = new int[POWERS_OF_TWO * SUB_BUCKETS];
  private final int samplesPerHalving;
  private int sampleCount;
  private int samplesSinceHalving;

  private LatencyHistogram(int samplesPerHalving) {
    this.samplesPerHalving = samplesPerHalving;
  }

  /**
   * Returns an empty histogram.
   *
   * @param samplesPerHalving number of samples after which all counts are halved
   */
  public static LatencyHistogram create(int samplesPerHalving) {
    return new LatencyHistogram(samplesPerHalving);
  }

  /** Records a duration in nanoseconds. */
  public void record(long nanos) {
    bucketCounts[bucket(nanos)]++;
    sampleCount++;
    if (++samplesSinceHalving >= samplesPerHalving) {
      halve();
    }
  }

  /** Returns the number of samples in the buckets, after halvings. */
  public int count() {
    return sampleCount;
  }

  /**
   * Returns the upper bound in nanoseconds of the bucket that holds a quantile, given as a fraction
   * from 0 to 1; 0 if there are no samples.
   */
  public long quantile(double fraction) {
    if (sampleCount == 0) {
      return 0;
    }
    long quantileRank = Math.max(1, (long) Math.ceil(fraction * sampleCount));
    long cumulativeCount = 0;
    for (int i = 0; i < bucketCounts.length; i++) {
      cumulativeCount += bucketCounts[i];
      if (cumulativeCount >= quantileRank) {
        return upperBound(i);
      }
    }
    return upperBound(bucketCounts.length - 1);
  }

  private void halve() {
    samplesSinceHalving = 0;
    sampleCount = 0;
    for (int i = 0; i < bucketCounts.length; i++) {
      bucketCounts[i] >>= 1;
      sampleCount += bucketCounts[i];
    }
  }

  private static int bucket(long nanos) {
    long micros = Math.max(SUB_BUCKETS, nanos / 1000);
    int power = 63 - Long.numberOfLeadingZeros(micros);
    int subBucket = (int) (micros >>> (power - SUB_BUCKET_BITS)) & (SUB_BUCKETS - 1);
    return Math.min(
        POWERS_OF_TWO * SUB_BUCKETS - 1, (power - SUB_BUCKET_BITS) * SUB_BUCKETS + subBucket);
  }

  private static long upperBound(int bucketIndex) {
    int shift = bucketIndex / SUB_BUCKETS;
    long micros = (long) (SUB_BUCKETS + bucketIndex % SUB_BUCKETS + 1) << shift;
    return micros * 1000;
  }
}
