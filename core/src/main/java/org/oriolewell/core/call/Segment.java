package org.oriolewell.core.call;

import java.util.Map;

/**
 * Finished calls that were moved out of the shard's record to keep it small. A segment is stored
 * under a name of its own and never changes while the record refers to it.
 *
 * @param writeId identity of this segment
 * @param calls the calls
 */
public record Segment(String writeId, Map<CallId, CallRecord> calls) {
  /** Copies the map. */
  public Segment {
    calls = Map.copyOf(calls);
  }

  /**
   * A record's reference to a segment.
   *
   * @param name store key of the segment
   * @param writeId identity that the segment must have; another one means that it was overwritten
   * @param range key times of its calls
   */
  public record Reference(String name, String writeId, TimeRange range) {}
}
