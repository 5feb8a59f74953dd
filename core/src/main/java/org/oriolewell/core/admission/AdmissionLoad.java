package org.oriolewell.core.admission;

/**
 * Load of an agent's upstream and of the queue before it.
 *
 * @param inFlight number of calls at the upstream
 * @param queued number of calls that wait for the upstream
 * @param limit largest number of calls that may be at the upstream now
 * @param queueDelayNanos estimated wait of a new call, in nanoseconds
 */
public record AdmissionLoad(int inFlight, int queued, int limit, long queueDelayNanos) {}
