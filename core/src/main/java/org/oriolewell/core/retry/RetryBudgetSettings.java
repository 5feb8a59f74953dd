package org.oriolewell.core.retry;

/**
 * Settings of a retry budget.
 *
 * @param ratio second attempts allowed for each first attempt
 * @param processMinPerSecond second attempts per second allowed to the process in any case
 * @param processBurst most tokens the process may save
 * @param pipelineMinPerSecond second attempts per second allowed to a pipeline in any case
 * @param pipelineBurst most tokens a pipeline may save
 * @param hedgeRatio hedges allowed for each first attempt
 * @param hedgeMinPerSecond hedges per second allowed in any case
 * @param hedgeBurst most hedges the process may save
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
   * Returns the default: one second attempt for ten first attempts, and one hedge for a hundred. A
   * larger share of hedges costs more than it saves once the load is over 0.8 of the capacity.
   */
  public static RetryBudgetSettings defaults() {
    return new RetryBudgetSettings(0.1, 2, 50, 0.5, 20, 0.01, 0.5, 20);
  }
}
