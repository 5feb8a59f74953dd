package org.oriolewell.standins;

/**
 * Something that a stand-in ran.
 *
 * @param epochMillis time at which it took effect, in milliseconds since the epoch
 * @param requestId request that asked for it; empty if none was named
 * @param operation stage or operation
 * @param key idempotency key or other identity of the effect; empty if it has none
 * @param times how often this operation and key, or else this operation and request, has run so far
 */
public record Execution(
    long epochMillis, String requestId, String operation, String key, int times) {}
