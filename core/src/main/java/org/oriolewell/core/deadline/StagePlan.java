package org.oriolewell.core.deadline;

/**
 * Time given to the next stage.
 *
 * @param reachable whether the remaining stages can finish in the remaining time
 * @param budgetNanos time for the next stage
 * @param neededNanos time that the remaining stages need at least, as far as is known
 */
public record StagePlan(boolean reachable, long budgetNanos, long neededNanos) {}
