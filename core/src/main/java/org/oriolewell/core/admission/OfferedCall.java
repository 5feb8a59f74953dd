package org.oriolewell.core.admission;

/**
 * A call that arrived and waits for the decision whether it starts.
 *
 * @param <T> type by which the agent identifies calls
 * @param call call as the agent identifies it
 * @param firm name of the firm to which the workspace belongs
 * @param workspace name of the workspace that sent the request
 * @param priority 0 (lowest) to 9; orders calls within their workspace only
 * @param operation name of the operation; calls of one operation are expected to take similar times
 * @param deadlineNanos monotonic time at which the answer becomes useless
 */
public record OfferedCall<T>(
    T call, String firm, String workspace, int priority, String operation, long deadlineNanos) {}
