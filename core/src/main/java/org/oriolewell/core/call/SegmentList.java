package org.oriolewell.core.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Segments that a shard's record refers to, and the segment that is being written. */
final class SegmentList {
  // Store keys of segments are reused, so that takeovers don't add keys to the store without bound.
  // A segment that was overwritten is detected by its write id.
  private static final int EPOCH_KEY_MODULUS = 16;
  private static final int MAX_SEGMENT_KEYS_PER_EPOCH = 256;

  private final String shardName;
  private final CallTable callTable;
  private final List<Segment.Reference> references = new ArrayList<>();
  private @Nullable Segment segmentInWrite;
  private String storeKeyInWrite = "";

  SegmentList(String shardName, CallTable callTable) {
    this.shardName = shardName;
    this.callTable = callTable;
  }

  /** Removes all references and abandons the segment that is being written. */
  void clear() {
    references.clear();
    segmentInWrite = null;
  }

  /**
   * Adopts the segments of the former owner's record.
   *
   * @param segmentsByStoreKey segments that could be read, by store key
   * @return key time ranges of the segments that are missing or were overwritten; it isn't known
   *     whether calls in these ranges ran
   */
  List<TimeRange> adoptSegments(ShardRecord record, Map<String, Segment> segmentsByStoreKey) {
    List<TimeRange> unreadableRanges = new ArrayList<>();
    for (Segment.Reference reference : record.segments()) {
      Segment segment = segmentsByStoreKey.get(reference.storeKey());
      if (segment == null || !segment.writeId().equals(reference.writeId())) {
        unreadableRanges.add(reference.keyTimes());
        continue;
      }
      references.add(reference);
      segment.calls().forEach(callTable::record);
      callTable.markInSegment(segment.calls().keySet());
    }
    return unreadableRanges;
  }

  /** Returns the references to segments with key times at or above a low-water mark. */
  List<Segment.Reference> referencesSince(long lowWaterMarkMillis) {
    return references.stream()
        .filter(reference -> reference.keyTimes().lastMillis() >= lowWaterMarkMillis)
        .toList();
  }

  /** Removes references to segments whose key times all lie below a low-water mark. */
  void removeOlderThan(long lowWaterMarkMillis) {
    references.removeIf(reference -> reference.keyTimes().lastMillis() < lowWaterMarkMillis);
  }

  /** Returns whether a segment is being written. */
  boolean isWriting() {
    return segmentInWrite != null;
  }

  /** Starts the write of a new segment; returns empty if all store keys are in use. */
  Optional<ShardAction.WriteSegment> startWrite(
      long epoch, String writeId, Map<CallId, CallRecord> calls) {
    Optional<String> storeKey = unusedStoreKey(epoch);
    if (storeKey.isEmpty()) {
      return Optional.empty();
    }
    Segment segment = new Segment(writeId, calls);
    segmentInWrite = segment;
    storeKeyInWrite = storeKey.get();
    return Optional.of(new ShardAction.WriteSegment(storeKeyInWrite, segment));
  }

  private Optional<String> unusedStoreKey(long epoch) {
    for (int keyIndex = 0; keyIndex < MAX_SEGMENT_KEYS_PER_EPOCH; keyIndex++) {
      String storeKey = shardName + "/" + epoch % EPOCH_KEY_MODULUS + "-" + keyIndex;
      if (references.stream().noneMatch(reference -> reference.storeKey().equals(storeKey))) {
        return Optional.of(storeKey);
      }
    }
    return Optional.empty();
  }

  /** Adds a reference to the segment being written, if the write id is that segment's. */
  void completeWrite(String writeId) {
    Segment segment = segmentInWrite;
    if (segment == null || !segment.writeId().equals(writeId)) {
      return;
    }
    segmentInWrite = null;
    TimeRange keyTimes = TimeRange.EMPTY;
    for (CallRecord call : segment.calls().values()) {
      keyTimes = keyTimes.including(call.keyIssuedMillis());
    }
    references.add(new Segment.Reference(storeKeyInWrite, writeId, keyTimes));
    callTable.markInSegment(segment.calls().keySet());
  }

  /** Abandons the segment that is being written. */
  void abandonWrite() {
    segmentInWrite = null;
  }
}
