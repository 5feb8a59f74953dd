package org.oriolewell.core.call;

import java.time.Duration;

/**
 * Settings of a shard's owner.
 *
 * @param lifetime age from which a key is refused
 * @param lag how far the window reaches into the past
 * @param lead how far the window reaches into the future; after a crash, keys issued in this time
 *     are refused, so it is kept short
 * @param interval time between two writes while calls come
 * @param maxSkew how far ahead of the owner's clock a key may be
 * @param segmentCalls calls in the record from which a segment is split off
 * @param maxOutputBytes largest output that is kept in the store
 */
public record ShardSettings(
    Duration lifetime,
    Duration lag,
    Duration lead,
    Duration interval,
    Duration maxSkew,
    int segmentCalls,
    int maxOutputBytes) {
  /** Returns the defaults. */
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
