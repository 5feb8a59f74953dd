package org.oriolewell.core.call;

import java.util.Map;

/**
 * Finished calls that were moved out of a shard's record to keep the record small. A segment has a
 * store key of its own and doesn't change while the record refers to it.
 *
 * @param writeId unique id of the write that stored this segment
 * @param calls records of the finished calls, by call identity
 */
public record Segment(String writeId, Map<CallId, CallRecord> calls) {
  /** Makes an unmodifiable copy of the calls. */
  public Segment {
    calls = Map.copyOf(calls);
  }

  /**
   * Reference from a shard's record to a segment.
   *
   * @param storeKey store key of the segment
   * @param writeId write id expected in the stored segment; another id means that the segment was
   *     overwritten
   * @param keyTimes smallest range that contains the key times of the segment's calls
   */
  public record Reference(String storeKey, String writeId, TimeRange keyTimes) {}
}
