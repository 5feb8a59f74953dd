package org.oriolewell.core.routing;

/**
 * An upstream that the router compared with others for one call; written to the log.
 *
 * @param name host name
 * @param load calls of this process in flight at the upstream, plus the reported length of its
 *     queue
 * @param latencyMicros estimated latency in microseconds
 * @param cost expected cost of the call at this upstream; the lowest one is chosen
 */
public record Candidate(String name, int load, long latencyMicros, double cost) {}
