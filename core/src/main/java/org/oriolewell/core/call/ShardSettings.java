package org.oriolewell.core.call;

import java.time.Duration;

/**
 * Settings of a {@link ShardOwner}.
 *
 * @param keyLifetime age from which an idempotency key is refused
 * @param windowLag how far the window of key times that the owner may run reaches into the past
 * @param windowLead how far the window of key times that the owner may run reaches into the future;
 *     keys issued in this span are refused after a crash, so it is kept short
 * @param writeInterval time between two writes of the shard's record while calls arrive
 * @param maxClockSkew how far a key's time of issue may lie ahead of the owner's clock
 * @param segmentMinCalls number of finished calls in the shard's record from which they are moved
 *     to a segment
 * @param maxStoredOutputBytes largest output of a call that is kept in the store, in bytes
 */
public record ShardSettings(
    Duration keyLifetime,
    Duration windowLag,
    Duration windowLead,
    Duration writeInterval,
    Duration maxClockSkew,
    int segmentMinCalls,
    int maxStoredOutputBytes) {
  /** Returns the default settings of a shard's owner. */
  public static ShardSettings defaults() {
    return new ShardSettings(
        Duration.ofMinutes(10),
        Duration.ofSeconds(15),
        Duration.ofMillis(1500),
        Duration.ofMillis(750),
        Duration.ofSeconds(2),
        256,
        1024);
  }
}
