package org.oriolewell.core.admission;

/**
 * Load of an agent.
 *
 * @param inFlight calls at the upstream
 * @param queued calls that wait
 * @param limit most calls at the upstream now
 * @param queueDelayNanos estimated wait of a new call, in nanoseconds
 */
public record AdmissionLoad(int inFlight, int queued, int limit, long queueDelayNanos) {}
