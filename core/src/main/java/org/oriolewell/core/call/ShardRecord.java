package org.oriolewell.core.call;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Durable record of a shard, kept in the store and changed only by compare-and-swap.
 *
 * @param epoch number of the ownership; each takeover adds one
 * @param owner process id of the owner; null after a release
 * @param ownerAddress address at which the owner takes calls; null after a release
 * @param writeId identity of the write that made this record
 * @param window key times that the owner may run
 * @param ambiguous key times that an earlier owner may have run without a record
 * @param lowWaterMillis key times below this one are no longer recorded and must not run
 * @param segments segments that hold further calls
 * @param calls calls that no segment holds
 */
public record ShardRecord(
    long epoch,
    @Nullable String owner,
    @Nullable String ownerAddress,
    String writeId,
    TimeRange window,
    List<TimeRange> ambiguous,
    long lowWaterMillis,
    List<Segment.Reference> segments,
    Map<CallId, CallRecord> calls) {
  /** Copies the collections. */
  public ShardRecord {
    ambiguous = List.copyOf(ambiguous);
    segments = List.copyOf(segments);
    calls = Map.copyOf(calls);
  }
}
