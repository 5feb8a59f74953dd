package org.oriolewell.core.admission;

import java.util.HashMap;
import java.util.Map;

/** Expected time at the upstream, by operation and over all of them. */
final class ServiceTimes {
  private static final double GAIN = 0.05;
  private static final int MAX_OPERATIONS = 256;

  /** Mean and mean deviation. */
  private final Map<String, double[]> means = new HashMap<>();

  private double overall;

  void add(String operation, long nanos) {
    overall = overall == 0 ? nanos : overall + GAIN * (nanos - overall);
    double[] mean = means.get(operation);
    if (mean != null) {
      mean[1] += GAIN * (Math.abs(nanos - mean[0]) - mean[1]);
      mean[0] += GAIN * (nanos - mean[0]);
    } else if (means.size() < MAX_OPERATIONS) {
      // A deviation that is not known yet refuses nothing.
      means.put(operation, new double[] {nanos, 0});
    }
  }

  /** Returns nanoseconds in which most calls of an operation end: the mean and three deviations. */
  double most(String operation) {
    double[] mean = means.get(operation);
    return mean == null ? overall : mean[0] + 3 * mean[1];
  }

  /** Returns the expected nanoseconds of an operation; 0 if nothing is known. */
  double of(String operation) {
    double[] mean = means.get(operation);
    return mean == null ? overall : mean[0];
  }

  /** Returns the expected nanoseconds over all operations; 0 if nothing is known. */
  double overall() {
    return overall;
  }
}
