package org.oriolewell.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Streams that a caller can resume: those in flight and, for a limited time, those that have ended.
 */
final class ResumableStreams {
  private final ScheduledExecutorService timers;
  private final Duration retentionTime;
  private final int maxEndedTokens;
  private final Map<String, StreamSession> streams = new ConcurrentHashMap<>();
  private final Deque<StreamSession> endedStreams = new ArrayDeque<>();

  /** Number of tokens of all ended streams that are kept. */
  private long endedTokens;

  /**
   * Creates a table without streams.
   *
   * @param retentionTime how long an ended stream is kept
   * @param maxEndedTokens largest number of tokens kept of all ended streams together; the stream
   *     that ended first is removed first
   */
  ResumableStreams(ScheduledExecutorService timers, Duration retentionTime, int maxEndedTokens) {
    this.timers = timers;
    this.retentionTime = retentionTime;
    this.maxEndedTokens = maxEndedTokens;
  }

  /** Adds the stream of a new request, which is kept until some time after its end. */
  void add(StreamSession stream) {
    streams.put(stream.id(), stream);
    stream.run().ending().thenAccept(ending -> keepEnded(stream, ending));
  }

  /**
   * Returns the stream of the request with the given id, or empty if it is unknown or no longer
   * kept.
   */
  Optional<StreamSession> find(String id) {
    return Optional.ofNullable(streams.get(id));
  }

  private void keepEnded(StreamSession stream, Ending ending) {
    if (ending instanceof Ending.CallerLeft) {
      streams.remove(stream.id());
      return;
    }
    synchronized (this) {
      endedStreams.add(stream);
      endedTokens += stream.run().tokenLog().size();
      while (endedTokens > maxEndedTokens && !endedStreams.isEmpty()) {
        removeEnded(endedStreams.getFirst());
      }
    }
    timers.schedule(() -> expire(stream), retentionTime.toMillis(), TimeUnit.MILLISECONDS);
  }

  private synchronized void expire(StreamSession stream) {
    while (!endedStreams.isEmpty() && streams.containsKey(stream.id())) {
      removeEnded(endedStreams.getFirst());
    }
  }

  private void removeEnded(StreamSession stream) {
    endedStreams.remove(stream);
    streams.remove(stream.id());
    endedTokens -= stream.run().tokenLog().size();
  }
}
