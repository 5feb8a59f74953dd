package org.oriolewell.core.call;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Durable record of a shard, kept in the store and changed only by compare-and-swap.
 *
 * @param epoch ownership epoch, incremented by each takeover of the shard
 * @param owner process id of the shard's owner; null after a release
 * @param ownerAddress address at which the owner accepts calls; null after a release
 * @param writeId unique id of the write that stored this version of the record
 * @param keyWindow key times whose calls the owner may run
 * @param ambiguousRanges key times whose calls an earlier owner may have run without recording them
 * @param lowWaterMarkMillis low-water mark in milliseconds since the epoch; calls with earlier key
 *     times are no longer recorded and must not run
 * @param segments references to the segments with further calls of the shard
 * @param calls records of the calls that are in no segment, by call identity
 */
public record ShardRecord(
    long epoch,
    @Nullable String owner,
    @Nullable String ownerAddress,
    String writeId,
    TimeRange keyWindow,
    List<TimeRange> ambiguousRanges,
    long lowWaterMarkMillis,
    List<Segment.Reference> segments,
    Map<CallId, CallRecord> calls) {
  /** Makes unmodifiable copies of the collections. */
  public ShardRecord {
    ambiguousRanges = List.copyOf(ambiguousRanges);
    segments = List.copyOf(segments);
    calls = Map.copyOf(calls);
  }
}
