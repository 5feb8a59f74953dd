package org.oriolewell.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Limit that follows the upstream's latency. The ratio of the latency to the latency without load
 * of the same operation says how far the upstream is past its knee: above a tolerance the limit
 * shrinks in proportion, below it the limit grows by a small step while it is used.
 *
 * <p>The latency without load is the lowest mean over a window of calls, not the lowest single
 * time, since times of one operation vary. It rises slowly, so that an upstream that became slower
 * for good is not held at the floor forever.
 */
public final class GradientLimit implements ConcurrencyLimit {
  /**
   * Latency ratio that is not taken for overload. Calls past the knee wait in the upstream instead
   * of the queue, which costs less than places left free: in the queue model 1.25 lost 5 in 100
   * requests at 1.2 of the capacity.
   */
  private static final double TOLERANCE = 1.5;

  private static final double SMOOTHING = 0.25;

  /** Calls in a window; fewer give a mean too noisy to compare. */
  private static final int MIN_WINDOW = 64;

  private static final int MAX_OPERATIONS = 256;

  private final int floor;
  private final int ceiling;
  private final Map<String, Baseline> baselines = new HashMap<>();
  private double limit;
  private double ratioSum;
  private int samples;
  private int maxInFlight;

  private GradientLimit(int floor, int initial, int ceiling) {
    this.floor = floor;
    this.ceiling = ceiling;
    this.limit = initial;
  }

  /** Returns a limit that starts at {@code initial} and stays between floor and ceiling. */
  public static GradientLimit create(int floor, int initial, int ceiling) {
    if (floor < 1 || initial < floor || ceiling < initial) {
      throw new IllegalArgumentException("limits must satisfy 1 <= floor <= initial <= ceiling");
    }
    return new GradientLimit(floor, initial, ceiling);
  }

  @Override
  public int limit() {
    return (int) limit;
  }

  @Override
  public void completed(String operation, long latencyNanos, int inFlight) {
    Baseline baseline = baselines.get(operation);
    if (baseline == null) {
      if (baselines.size() >= MAX_OPERATIONS) {
        return;
      }
      baseline = new Baseline();
      baselines.put(operation, baseline);
    }
    baseline.add(latencyNanos, inFlight <= limit / 2);
    if (baseline.known()) {
      ratioSum += latencyNanos / baseline.nanos;
      samples++;
      maxInFlight = Math.max(maxInFlight, inFlight);
      if (samples >= Math.max(MIN_WINDOW, 4 * limit)) {
        update();
      }
    }
  }

  @Override
  public void timedOut() {
    limit = Math.max(floor, limit * 0.9);
  }

  private void update() {
    double ratio = ratioSum / samples;
    double gradient = Math.max(0.5, Math.min(1, TOLERANCE / ratio));
    double step = Math.max(1, 0.05 * limit);
    double target = limit * gradient + step;
    boolean used = maxInFlight >= limit / 2;
    if (target < limit || used) {
      limit = Math.max(floor, Math.min(ceiling, limit + SMOOTHING * (target - limit)));
    }
    ratioSum = 0;
    samples = 0;
    maxInFlight = 0;
  }

  private static final class Baseline {
    private double nanos;
    private double sum;
    private int count;
    private boolean idle = true;

    private boolean known() {
      return nanos > 0;
    }

    private void add(long latencyNanos, boolean lightlyLoaded) {
      sum += latencyNanos;
      idle &= lightlyLoaded;
      if (++count < MIN_WINDOW) {
        return;
      }
      double mean = sum / count;
      if (nanos == 0) {
        nanos = mean;
      } else if (mean < nanos) {
        nanos += 0.3 * (mean - nanos);
      } else {
        nanos += (idle ? 0.05 : 0.002) * (mean - nanos);
      }
      sum = 0;
      count = 0;
      idle = true;
    }
  }
}
