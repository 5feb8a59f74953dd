package org.oriolewell.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.oriolewell.core.result.RetryBudget;

/** A token bucket of retries for each pipeline; each request adds a part of a retry. */
final class RetryBudgets {
  private final double ratio;
  private final double burst;
  private final Map<String, Bucket> buckets = new ConcurrentHashMap<>();

  /**
   * Creates the budgets, each full.
   *
   * @param ratio retries that each request adds
   * @param burst most retries that a budget holds
   */
  RetryBudgets(double ratio, double burst) {
    this.ratio = ratio;
    this.burst = burst;
  }

  /** Adds a request's part to its pipeline's budget and returns the budget. */
  RetryBudget forRequest(String pipeline) {
    Bucket bucket = buckets.computeIfAbsent(pipeline, name -> new Bucket());
    bucket.add();
    return bucket;
  }

  private final class Bucket implements RetryBudget {
    private double tokens = burst;

    synchronized void add() {
      tokens = Math.min(burst, tokens + ratio);
    }

    @Override
    public synchronized boolean tryTake() {
      if (tokens < 1) {
        return false;
      }
      tokens--;
      return true;
    }
  }
}
