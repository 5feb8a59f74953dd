package org.oriolewell.core.roster;

/**
 * An entry of the platform's store in which an upstream describes itself.
 *
 * @param instance the upstream as the entry describes it
 * @param sequence number of the entry among those that this start of the upstream has written; -1
 *     if the entry doesn't say
 */
public record UpstreamEntry(UpstreamInstance instance, long sequence) {}
