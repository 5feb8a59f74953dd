package org.oriolewell.core.admission;

import java.util.HashMap;
import java.util.Map;

/** Moving averages of the calls' times at the upstream, by operation and over all of them. */
final class ServiceTimes {
  /** Weight of a new sample in the moving averages. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /**
   * Largest number of operations with averages of their own; further ones use the overall average.
   */
  private static final int MAX_OPERATIONS = 256;

  /** Mean and mean absolute deviation by operation, in nanoseconds. */
  private final Map<String, double[]> averages = new HashMap<>();

  private double expectedOverall;

  void add(String operation, long nanos) {
    expectedOverall =
        expectedOverall == 0 ? nanos : expectedOverall + SAMPLE_WEIGHT * (nanos - expectedOverall);
    double[] meanAndDeviation = averages.get(operation);
    if (meanAndDeviation != null) {
      meanAndDeviation[1] +=
          SAMPLE_WEIGHT * (Math.abs(nanos - meanAndDeviation[0]) - meanAndDeviation[1]);
      meanAndDeviation[0] += SAMPLE_WEIGHT * (nanos - meanAndDeviation[0]);
    } else if (averages.size() < MAX_OPERATIONS) {
      // The deviation starts at 0, so that it refuses no call before it is known.
      averages.put(operation, new double[] {nanos, 0});
    }
  }

  /**
   * Returns the time in nanoseconds in which most calls of an operation end: the mean and three
   * mean deviations.
   */
  double likelyMaximum(String operation) {
    double[] meanAndDeviation = averages.get(operation);
    return meanAndDeviation == null
        ? expectedOverall
        : meanAndDeviation[0] + 3 * meanAndDeviation[1];
  }

  /**
   * Returns the expected time of an operation in nanoseconds; 0 if no call of any operation has
   * ended.
   */
  double expected(String operation) {
    double[] meanAndDeviation = averages.get(operation);
    return meanAndDeviation == null ? expectedOverall : meanAndDeviation[0];
  }

  /** Returns the expected time over all operations in nanoseconds; 0 if no call has ended. */
  double expectedOverall() {
    return expectedOverall;
  }
}
