package org.oriolewell.core.call;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Input event of a {@link ShardOwner}, given to {@link ShardOwner#on}. */
public sealed interface ShardEvent {
  /** The process shall own the shard, which has no owner or whose owner can't be reached. */
  record Claim() implements ShardEvent {}

  /**
   * The shard's record was read from the store.
   *
   * @param record the shard's record; null if the store has none
   * @param revision store revision of the record; 0 if the store has none
   * @param segments the record's segments that could be read, by store key
   */
  record RecordRead(@Nullable ShardRecord record, long revision, Map<String, Segment> segments)
      implements ShardEvent {
    /** Makes an unmodifiable copy of the segments. */
    public RecordRead {
      segments = Map.copyOf(segments);
    }
  }

  /** The shard's record could not be read from the store. */
  record ReadFailed() implements ShardEvent {}

  /** The store acknowledged the write of the shard's record. */
  record WriteAcknowledged(String writeId, long revision) implements ShardEvent {}

  /** The store refused the write of the shard's record, which has another revision by now. */
  record WriteConflict(String writeId) implements ShardEvent {}

  /** The write of the shard's record got no answer; it may still take effect at any time. */
  record WriteUnanswered(String writeId) implements ShardEvent {}

  /** The store acknowledged the write of a segment. */
  record SegmentWritten(String writeId) implements ShardEvent {}

  /** The write of a segment failed or got no answer. */
  record SegmentFailed(String writeId) implements ShardEvent {}

  /**
   * A call for the shard arrived.
   *
   * @param callNumber number of the call, unique in this process
   * @param id identity of the call, shared with its retries
   * @param keyIssuedMillis time of issue of the call's idempotency key, in milliseconds since the
   *     epoch
   * @param fingerprint hash of the request's body
   */
  record Arrived(long callNumber, CallId id, long keyIssuedMillis, long fingerprint)
      implements ShardEvent {}

  /** The call's dialer granted the permission to run it. */
  record Granted(long callNumber) implements ShardEvent {}

  /** The call's dialer denied the permission to run it, or disconnected before granting it. */
  record Denied(long callNumber) implements ShardEvent {}

  /**
   * A call that was sent to the upstream ended.
   *
   * @param callNumber number of the call that was sent to the upstream
   * @param state {@code ANSWERED}, {@code UNKNOWN}, or {@code NOT_RUN} if the call certainly did
   *     not run
   * @param output output of an answered call; null otherwise
   */
  record Finished(long callNumber, CallRecord.State state, byte @Nullable [] output)
      implements ShardEvent {}

  /**
   * A caller asks to settle an idempotency key, that is to make its outcome final.
   *
   * @param settleNumber number of the settle request, unique in this process
   * @param id identity of the call to settle
   * @param keyIssuedMillis time of issue of the key, in milliseconds since the epoch
   */
  record Settle(long settleNumber, CallId id, long keyIssuedMillis) implements ShardEvent {}

  /** Periodic timer event, sent about every 50 ms. */
  record Tick() implements ShardEvent {}

  /** The process stops or drains; the shard is released once its calls have ended. */
  record Release() implements ShardEvent {}
}
