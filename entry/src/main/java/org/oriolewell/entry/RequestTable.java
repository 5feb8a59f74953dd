package org.oriolewell.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Streams that can be resumed: those in flight and, for a while, those that have ended. */
final class RequestTable {
  private final ScheduledExecutorService timers;
  private final Duration keep;
  private final int maxTokens;
  private final Map<String, StreamSession> streams = new ConcurrentHashMap<>();
  private final Deque<StreamSession> ended = new ArrayDeque<>();
  private long endedTokens;

  /**
   * Creates a table.
   *
   * @param keep how long an ended stream is kept
   * @param maxTokens most tokens kept of ended streams; the oldest stream goes first
   */
  RequestTable(ScheduledExecutorService timers, Duration keep, int maxTokens) {
    this.timers = timers;
    this.keep = keep;
    this.maxTokens = maxTokens;
  }

  /** Adds a stream that has just begun. */
  void add(StreamSession stream) {
    streams.put(stream.id(), stream);
    stream.run().ending().thenAccept(how -> keepEnded(stream, how));
  }

  /** Returns a stream, or empty if there is none or it is no longer kept. */
  Optional<StreamSession> find(String id) {
    return Optional.ofNullable(streams.get(id));
  }

  private void keepEnded(StreamSession stream, Ending how) {
    if (how instanceof Ending.Left) {
      streams.remove(stream.id());
      return;
    }
    synchronized (this) {
      ended.add(stream);
      endedTokens += stream.run().tokens().size();
      while (endedTokens > maxTokens && !ended.isEmpty()) {
        drop(ended.getFirst());
      }
    }
    timers.schedule(() -> expire(stream), keep.toMillis(), TimeUnit.MILLISECONDS);
  }

  private synchronized void expire(StreamSession stream) {
    while (!ended.isEmpty() && streams.containsKey(stream.id())) {
      drop(ended.getFirst());
    }
  }

  private void drop(StreamSession stream) {
    ended.remove(stream);
    streams.remove(stream.id());
    endedTokens -= stream.run().tokens().size();
  }
}
