package org.oriolewell.core.deadline;

/**
 * Time budget of a request's next stage.
 *
 * @param reachable whether the remaining stages can finish before the request's deadline
 * @param budgetNanos time that the next stage may take, in nanoseconds
 * @param neededNanos least time that the remaining stages need as far as is known, in nanoseconds
 */
public record StagePlan(boolean reachable, long budgetNanos, long neededNanos) {}
