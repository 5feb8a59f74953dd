package org.oriolewell.core.routing;

/**
 * An upstream that a choice compared.
 *
 * @param name host name
 * @param load own calls in flight plus the reported queue
 * @param latencyMicros latency estimate in microseconds
 * @param cost value that was compared; the lowest wins
 */
public record Candidate(String name, int load, long latencyMicros, double cost) {}
