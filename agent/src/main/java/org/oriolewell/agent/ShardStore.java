package org.oriolewell.agent;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oriolewell.core.call.Segment;
import org.oriolewell.core.call.ShardCodec;
import org.oriolewell.core.call.ShardEvent;
import org.oriolewell.core.call.ShardRecord;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.platform.KeyValueStore;

/**
 * Reads and writes shard records and their segments in the key-value service. Each result is
 * returned as the event that the shard's state machine handles; the futures never fail.
 */
final class ShardStore {
  private final KeyValueStore store;
  private final AgentMetrics metrics;
  private final EventLog log;

  ShardStore(KeyValueStore store, AgentMetrics metrics, EventLog log) {
    this.store = store;
    this.metrics = metrics;
    this.log = log;
  }

  /** Reads a shard's record and its segments; any failure gives {@link ShardEvent.ReadFailed}. */
  CompletableFuture<ShardEvent> read(String shard) {
    return readEntry(shard)
        .thenCompose(
            entry ->
                entry.isEmpty()
                    ? CompletableFuture.<ShardEvent>completedFuture(
                        new ShardEvent.RecordRead(null, 0, Map.of()))
                    : readSegments(shard, entry.get()))
        .exceptionally(failure -> new ShardEvent.ReadFailed());
  }

  private CompletableFuture<Optional<KeyValueStore.Entry>> readEntry(String storeKey) {
    metrics.storeCalled("get");
    return store.get(storeKey);
  }

  private CompletableFuture<ShardEvent> readSegments(String shard, KeyValueStore.Entry entry) {
    ShardRecord record;
    try {
      record = ShardCodec.decode(entry.value());
    } catch (IOException e) {
      log.event(AgentEvent.SHARD_RECORD_INVALID).with("shard", shard).cause(e).write();
      return CompletableFuture.failedFuture(e);
    }
    Map<String, Segment> segments = new HashMap<>();
    CompletableFuture<Void> allRead = CompletableFuture.completedFuture(null);
    for (Segment.Reference reference : record.segments()) {
      allRead =
          allRead
              .thenCompose(ignored -> readEntry(reference.storeKey()))
              .thenAccept(
                  segmentEntry ->
                      segmentEntry.ifPresent(
                          value -> decodeSegment(reference.storeKey(), value, segments)));
    }
    return allRead.thenApply(
        ignored -> new ShardEvent.RecordRead(record, entry.revision(), segments));
  }

  /** Adds a segment to the map; omits a corrupt one, so that its keys count as ambiguous. */
  private void decodeSegment(
      String storeKey, KeyValueStore.Entry entry, Map<String, Segment> segments) {
    try {
      segments.put(storeKey, ShardCodec.decodeSegment(entry.value()));
    } catch (IOException e) {
      log.event(AgentEvent.SHARD_RECORD_INVALID).with("shard", storeKey).cause(e).write();
    }
  }

  /** Writes a shard's record if the stored one still has the expected revision. */
  CompletableFuture<ShardEvent> write(String shard, long expectedRevision, ShardRecord record) {
    String writeId = record.writeId();
    metrics.storeCalled("put");
    return store
        .compareAndSet(shard, expectedRevision, ShardCodec.encode(record))
        .<ShardEvent>thenApply(
            revision ->
                revision.isPresent()
                    ? new ShardEvent.WriteAcknowledged(writeId, revision.get())
                    : new ShardEvent.WriteConflict(writeId))
        .exceptionally(failure -> new ShardEvent.WriteUnanswered(writeId));
  }

  /** Writes a segment, replacing any value that is stored under its name. */
  CompletableFuture<ShardEvent> writeSegment(String storeKey, Segment segment) {
    String writeId = segment.writeId();
    return readEntry(storeKey)
        .thenCompose(
            currentEntry -> {
              metrics.storeCalled("put");
              return store.compareAndSet(
                  storeKey,
                  currentEntry.map(KeyValueStore.Entry::revision).orElse(0L),
                  ShardCodec.encodeSegment(segment));
            })
        .<ShardEvent>thenApply(
            revision ->
                revision.isPresent()
                    ? new ShardEvent.SegmentWritten(writeId)
                    : new ShardEvent.SegmentFailed(writeId))
        .exceptionally(failure -> new ShardEvent.SegmentFailed(writeId));
  }

  /** Returns whether an event means that the store did not answer a request for the record. */
  static boolean isStoreFailure(ShardEvent event) {
    return event instanceof ShardEvent.ReadFailed || event instanceof ShardEvent.WriteUnanswered;
  }

  /** Returns whether an event means that the store answered a request for the record. */
  static boolean isStoreAnswer(ShardEvent event) {
    return List.of(
            ShardEvent.RecordRead.class,
            ShardEvent.WriteAcknowledged.class,
            ShardEvent.WriteConflict.class)
        .contains(event.getClass());
  }
}
