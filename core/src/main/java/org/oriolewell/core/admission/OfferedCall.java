package org.oriolewell.core.admission;

/**
 * A call that asks to be run.
 *
 * @param <T> type by which the agent identifies calls
 * @param call the call
 * @param firm firm of its workspace
 * @param workspace workspace
 * @param priority 0 (lowest) to 9; orders calls within their workspace only
 * @param operation operation; calls of one operation are expected to take similar times
 * @param deadlineNanos monotonic time at which the answer becomes useless
 */
public record OfferedCall<T>(
    T call, String firm, String workspace, int priority, String operation, long deadlineNanos) {}
