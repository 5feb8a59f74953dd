package org.oriolewell.core.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * One gateway's work at each upstream of which no answer has arrived. Requests whose answer is
 * being written aren't counted: engines write many answers at the same time, but a prompt that
 * waits to be read delays all that follow. Not thread-safe.
 */
public final class UnansweredWork {
  /** Remainder from which the work counts as none; sums of fractions aren't exact. */
  private static final double NEGLIGIBLE = 1e-6;

  private final Map<String, Double> workById = new HashMap<>();

  private UnansweredWork() {}

  /** Returns an object without work. */
  public static UnansweredWork create() {
    return new UnansweredWork();
  }

  /**
   * Records that a request is sent.
   *
   * @param work expected work, 1 for a request of usual size
   */
  public void sent(String upstreamId, double work) {
    workById.merge(upstreamId, work, Double::sum);
  }

  /** Records the first byte of an answer, or the end of a request without an answer. */
  public void answered(String upstreamId, double work) {
    workById.computeIfPresent(upstreamId, (id, sum) -> sum - work < NEGLIGIBLE ? null : sum - work);
  }

  /** Returns the work at an upstream. */
  public double at(String upstreamId) {
    return workById.getOrDefault(upstreamId, 0.0);
  }

  /** Returns the work at all upstreams that have any. */
  public Map<String, Double> byUpstream() {
    return Map.copyOf(workById);
  }
}
