package org.oriolewell.core.retry;

/**
 * Settings of a retry budget.
 *
 * @param ratio second attempts allowed for each first attempt
 * @param processMinPerSecond second attempts per second allowed to the process in any case
 * @param processBurst most tokens the process may save
 * @param pipelineMinPerSecond second attempts per second allowed to a pipeline in any case
 * @param pipelineBurst most tokens a pipeline may save
 */
public record RetryBudgetSettings(
    double ratio,
    double processMinPerSecond,
    double processBurst,
    double pipelineMinPerSecond,
    double pipelineBurst) {
  /** Returns the default: one second attempt for ten first attempts. */
  public static RetryBudgetSettings defaults() {
    return new RetryBudgetSettings(0.1, 2, 50, 0.5, 20);
  }
}
