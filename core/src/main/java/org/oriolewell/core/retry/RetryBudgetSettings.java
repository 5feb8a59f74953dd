package org.oriolewell.core.retry;

/**
 * Settings of a {@link RetryBudget}.
 *
 * @param ratio tokens for retries that each first attempt adds
 * @param processMinPerSecond tokens per second added to the process's bucket without traffic
 * @param processBurst capacity of the process's token bucket
 * @param pipelineMinPerSecond tokens per second added to a pipeline's bucket without traffic
 * @param pipelineBurst capacity of a pipeline's token bucket
 * @param hedgeRatio tokens for hedges that each first attempt adds
 * @param hedgeMinPerSecond tokens per second added to the hedge bucket without traffic
 * @param hedgeBurst capacity of the hedge bucket
 */
public record RetryBudgetSettings(
    double ratio,
    double processMinPerSecond,
    double processBurst,
    double pipelineMinPerSecond,
    double pipelineBurst,
    double hedgeRatio,
    double hedgeMinPerSecond,
    double hedgeBurst) {
  /**
   * Returns the default settings: one retry for 10 first attempts, and one hedge for 100. More
   * hedges cost more than they save once the load is over 0.8 of the capacity.
   */
  public static RetryBudgetSettings defaults() {
    return new RetryBudgetSettings(0.1, 2, 50, 0.5, 20, 0.01, 0.5, 20);
  }
}
