package org.oriolewell.core.deadline;

/**
 * Quantiles of recent times in bounded memory. Buckets are logarithmic with 8 per power of two, so
 * a quantile is at most 12.5% too high; the range is 1 µs to about 70 minutes. After each {@code
 * window} samples all counts are halved, so old times fade. Not thread-safe.
 */
public final class LatencyHistogram {
  private static final int SUB_BITS = 3;
  private static final int SUB = 1 << SUB_BITS;
  private static final int POWERS = 32;

  private final int[] counts = new int[POWERS * SUB];
  private final int window;
  private int total;
  private int sinceHalving;

  private LatencyHistogram(int window) {
    this.window = window;
  }

  /** Returns an empty histogram that halves its counts after each {@code window} samples. */
  public static LatencyHistogram create(int window) {
    return new LatencyHistogram(window);
  }

  /** Records a time in nanoseconds. */
  public void record(long nanos) {
    counts[bucket(nanos)]++;
    total++;
    if (++sinceHalving >= window) {
      halve();
    }
  }

  /** Returns the number of samples that count now. */
  public int count() {
    return total;
  }

  /** Returns the upper bound of the bucket of a quantile (0 to 1), in nanoseconds; 0 if empty. */
  public long quantile(double part) {
    if (total == 0) {
      return 0;
    }
    long rank = Math.max(1, (long) Math.ceil(part * total));
    long seen = 0;
    for (int i = 0; i < counts.length; i++) {
      seen += counts[i];
      if (seen >= rank) {
        return upperBound(i);
      }
    }
    return upperBound(counts.length - 1);
  }

  private void halve() {
    sinceHalving = 0;
    total = 0;
    for (int i = 0; i < counts.length; i++) {
      counts[i] >>= 1;
      total += counts[i];
    }
  }

  private static int bucket(long nanos) {
    long micros = Math.max(SUB, nanos / 1000);
    int power = 63 - Long.numberOfLeadingZeros(micros);
    int sub = (int) (micros >>> (power - SUB_BITS)) & (SUB - 1);
    return Math.min(POWERS * SUB - 1, (power - SUB_BITS) * SUB + sub);
  }

  private static long upperBound(int bucket) {
    int shift = bucket / SUB;
    long micros = (long) (SUB + bucket % SUB + 1) << shift;
    return micros * 1000;
  }
}
