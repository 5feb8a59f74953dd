package org.oriolewell.core.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Segments that a shard's record refers to, and the one that is being written. */
final class SegmentList {
  // Names are used again, so that takeovers leave no growing number of keys in the store. A
  // reference to a segment that was overwritten is recognized by its write id.
  private static final int EPOCH_NAMES = 16;
  private static final int NAMES_PER_EPOCH = 256;

  private final String shard;
  private final CallTable table;
  private final List<Segment.Reference> references = new ArrayList<>();
  private @Nullable Segment pending;
  private String pendingName = "";

  SegmentList(String shard, CallTable table) {
    this.shard = shard;
    this.table = table;
  }

  /** Forgets all segments. */
  void clear() {
    references.clear();
    pending = null;
  }

  /**
   * Takes over the segments of a record.
   *
   * @return key times of those that are missing or were overwritten, which are ambiguous
   */
  List<TimeRange> adopt(ShardRecord record, Map<String, Segment> found) {
    List<TimeRange> lost = new ArrayList<>();
    for (Segment.Reference reference : record.segments()) {
      Segment segment = found.get(reference.name());
      if (segment == null || !segment.writeId().equals(reference.writeId())) {
        lost.add(reference.range());
        continue;
      }
      references.add(reference);
      segment.calls().forEach(table::record);
      table.markSegmented(segment.calls().keySet());
    }
    return lost;
  }

  /** Returns the references that hold key times from a low-water mark on. */
  List<Segment.Reference> references(long lowWaterMillis) {
    return references.stream()
        .filter(reference -> reference.range().until() >= lowWaterMillis)
        .toList();
  }

  /** Forgets segments whose keys are all older than a low-water mark. */
  void trim(long lowWaterMillis) {
    references.removeIf(reference -> reference.range().until() < lowWaterMillis);
  }

  /** Returns whether a segment is being written. */
  boolean isWriting() {
    return pending != null;
  }

  /** Starts a segment and returns its write, or empty if all names are in use. */
  Optional<ShardAction.WriteSegment> start(
      long epoch, String writeId, Map<CallId, CallRecord> calls) {
    Optional<String> name = freeName(epoch);
    if (name.isEmpty()) {
      return Optional.empty();
    }
    Segment segment = new Segment(writeId, calls);
    pending = segment;
    pendingName = name.get();
    return Optional.of(new ShardAction.WriteSegment(pendingName, segment));
  }

  private Optional<String> freeName(long epoch) {
    for (int i = 0; i < NAMES_PER_EPOCH; i++) {
      String name = shard + "/" + epoch % EPOCH_NAMES + "-" + i;
      if (references.stream().noneMatch(reference -> reference.name().equals(name))) {
        return Optional.of(name);
      }
    }
    return Optional.empty();
  }

  /** Refers to the pending segment from now on, if it is the one that was written. */
  void written(String writeId) {
    Segment segment = pending;
    if (segment == null || !segment.writeId().equals(writeId)) {
      return;
    }
    pending = null;
    TimeRange range = TimeRange.EMPTY;
    for (CallRecord call : segment.calls().values()) {
      range = range.including(call.keyMillis());
    }
    references.add(new Segment.Reference(pendingName, writeId, range));
    table.markSegmented(segment.calls().keySet());
  }

  /** Gives the pending segment up. */
  void failed() {
    pending = null;
  }
}
