package org.oriolewell.core.call;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/** What happens to a {@link ShardOwner}. */
public sealed interface ShardEvent {
  /** The program wants to own the shard, since it has no owner or the owner can't be reached. */
  record Claim() implements ShardEvent {}

  /**
   * The store's record was read.
   *
   * @param record the record; null if there is none
   * @param revision its revision in the store; 0 if there is none
   * @param segments the segments it refers to that could be read, by name
   */
  record RecordRead(@Nullable ShardRecord record, long revision, Map<String, Segment> segments)
      implements ShardEvent {
    /** Copies the map. */
    public RecordRead {
      segments = Map.copyOf(segments);
    }
  }

  /** The record could not be read. */
  record ReadFailed() implements ShardEvent {}

  /** The record's write was acknowledged. */
  record WriteAcknowledged(String writeId, long revision) implements ShardEvent {}

  /** The record's write was refused, as the record has another revision. */
  record WriteConflict(String writeId) implements ShardEvent {}

  /** The record's write had no answer; it may take effect at any time. */
  record WriteUnanswered(String writeId) implements ShardEvent {}

  /** A segment was written. */
  record SegmentWritten(String writeId) implements ShardEvent {}

  /** A segment could not be written. */
  record SegmentFailed(String writeId) implements ShardEvent {}

  /**
   * A call arrived.
   *
   * @param call number of the call in the program
   * @param id identity
   * @param keyMillis time of issue of its key
   * @param fingerprint hash of the request's body
   */
  record Arrived(long call, CallId id, long keyMillis, long fingerprint) implements ShardEvent {}

  /** The dialer permits the call to run. */
  record Granted(long call) implements ShardEvent {}

  /** The dialer forbids the call, or is gone before it permitted it. */
  record Denied(long call) implements ShardEvent {}

  /**
   * The upstream's call ended.
   *
   * @param state {@code ANSWERED}, {@code UNKNOWN}, or {@code NOT_RUN} if it surely did not run
   * @param output output of an answered call; null otherwise
   */
  record Finished(long call, CallRecord.State state, byte @Nullable [] output)
      implements ShardEvent {}

  /** Somebody asks for the final outcome of a key. */
  record Settle(long question, CallId id, long keyMillis) implements ShardEvent {}

  /** Time has passed. Due about every 50 ms. */
  record Tick() implements ShardEvent {}

  /** The program stops as planned; the shard is to be released once its calls have ended. */
  record Release() implements ShardEvent {}
}
