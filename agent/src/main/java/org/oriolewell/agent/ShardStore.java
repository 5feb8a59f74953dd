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

/** Reads and writes shard records and segments, and gives each result as the shard's event. */
final class ShardStore {
  private final KeyValueStore store;
  private final AgentMetrics metrics;
  private final EventLog log;

  ShardStore(KeyValueStore store, AgentMetrics metrics, EventLog log) {
    this.store = store;
    this.metrics = metrics;
    this.log = log;
  }

  /** Reads a record with its segments; any failure gives {@link ShardEvent.ReadFailed}. */
  CompletableFuture<ShardEvent> read(String shard) {
    return get(shard)
        .thenCompose(
            entry ->
                entry.isEmpty()
                    ? CompletableFuture.<ShardEvent>completedFuture(
                        new ShardEvent.RecordRead(null, 0, Map.of()))
                    : withSegments(shard, entry.get()))
        .exceptionally(failure -> new ShardEvent.ReadFailed());
  }

  private CompletableFuture<Optional<KeyValueStore.Entry>> get(String key) {
    metrics.storeCall("get");
    return store.get(key);
  }

  private CompletableFuture<ShardEvent> withSegments(String shard, KeyValueStore.Entry entry) {
    ShardRecord record;
    try {
      record = ShardCodec.decode(entry.value());
    } catch (IOException e) {
      log.event(AgentEvent.SHARD_RECORD_INVALID).with("shard", shard).cause(e).write();
      return CompletableFuture.failedFuture(e);
    }
    Map<String, Segment> segments = new HashMap<>();
    CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
    for (Segment.Reference reference : record.segments()) {
      all =
          all.thenCompose(nothing -> get(reference.storeKey()))
              .thenAccept(found -> found.ifPresent(s -> decode(reference.storeKey(), s, segments)));
    }
    return all.thenApply(nothing -> new ShardEvent.RecordRead(record, entry.revision(), segments));
  }

  /** Adds a segment; a corrupt one is left out, so that its keys count as ambiguous. */
  private void decode(String name, KeyValueStore.Entry entry, Map<String, Segment> segments) {
    try {
      segments.put(name, ShardCodec.decodeSegment(entry.value()));
    } catch (IOException e) {
      log.event(AgentEvent.SHARD_RECORD_INVALID).with("shard", name).cause(e).write();
    }
  }

  /** Writes a record by compare-and-swap. */
  CompletableFuture<ShardEvent> write(String shard, long expectedRevision, ShardRecord record) {
    String writeId = record.writeId();
    metrics.storeCall("put");
    return store
        .compareAndSet(shard, expectedRevision, ShardCodec.encode(record))
        .<ShardEvent>thenApply(
            revision ->
                revision.isPresent()
                    ? new ShardEvent.WriteAcknowledged(writeId, revision.get())
                    : new ShardEvent.WriteConflict(writeId))
        .exceptionally(failure -> new ShardEvent.WriteUnanswered(writeId));
  }

  /** Writes a segment over whatever its name holds. */
  CompletableFuture<ShardEvent> writeSegment(String name, Segment segment) {
    String writeId = segment.writeId();
    return get(name)
        .thenCompose(
            found -> {
              metrics.storeCall("put");
              return store.compareAndSet(
                  name,
                  found.map(KeyValueStore.Entry::revision).orElse(0L),
                  ShardCodec.encodeSegment(segment));
            })
        .<ShardEvent>thenApply(
            revision ->
                revision.isPresent()
                    ? new ShardEvent.SegmentWritten(writeId)
                    : new ShardEvent.SegmentFailed(writeId))
        .exceptionally(failure -> new ShardEvent.SegmentFailed(writeId));
  }

  /** Returns whether an event means that the store gave no answer. */
  static boolean meansAway(ShardEvent event) {
    return event instanceof ShardEvent.ReadFailed || event instanceof ShardEvent.WriteUnanswered;
  }

  /** Returns whether an event means that the store answered. */
  static boolean meansThere(ShardEvent event) {
    return List.of(
            ShardEvent.RecordRead.class,
            ShardEvent.WriteAcknowledged.class,
            ShardEvent.WriteConflict.class)
        .contains(event.getClass());
  }
}
