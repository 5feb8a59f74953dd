package org.oriolewell.runtime.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.oriolewell.runtime.platform.KeyValueStore;
import org.oriolewell.runtime.platform.StoreUnavailableException;

/** An in-memory store that may be away, be slow, or lose the answers to its next writes. */
public final class FaultyStore implements KeyValueStore {
  private record Waiting(String key, long after, CompletableFuture<Optional<Entry>> answer) {}

  private final Map<String, Entry> entries = new HashMap<>();
  private final List<Waiting> watches = new ArrayList<>();
  private boolean away;
  private boolean silentWatches;
  private int lostAnswers;
  private Duration delay = Duration.ZERO;
  private int calls;

  /** Lets the store be away or return; waiting watches fail when it goes away. */
  public synchronized void away(boolean value) {
    away = value;
    if (value) {
      List<Waiting> failed = List.copyOf(watches);
      watches.clear();
      failed.forEach(waiting -> waiting.answer().completeExceptionally(unavailable()));
    }
  }

  /** Lets waiting watches hear of no write until this is taken back. */
  public synchronized void silentWatches(boolean value) {
    silentWatches = value;
  }

  /** Loses the answers to the next writes, after they took effect. */
  public synchronized void loseAnswers(int count) {
    lostAnswers = count;
  }

  /** Delays each answer. */
  public synchronized void delay(Duration value) {
    delay = value;
  }

  /** Returns the number of calls since the start; a waiting watch counts as one. */
  public synchronized int calls() {
    return calls;
  }

  /** Returns the number of watches that wait now. */
  public synchronized int watching() {
    return (int) watches.stream().filter(waiting -> !waiting.answer().isDone()).count();
  }

  /** Replaces a value from outside, as another program would. */
  public synchronized void put(String key, byte[] value) {
    long revision = Optional.ofNullable(entries.get(key)).map(Entry::revision).orElse(0L) + 1;
    Entry entry = new Entry(revision, value);
    entries.put(key, entry);
    if (silentWatches) {
      return;
    }
    List<Waiting> due =
        watches.stream().filter(w -> w.key().equals(key) && w.after() < revision).toList();
    watches.removeAll(due);
    due.forEach(waiting -> answer(Optional.of(entry), waiting.answer()));
  }

  @Override
  public synchronized CompletableFuture<Optional<Entry>> get(String key) {
    calls++;
    return away
        ? CompletableFuture.failedFuture(unavailable())
        : answer(Optional.ofNullable(entries.get(key)), new CompletableFuture<>());
  }

  @Override
  public synchronized CompletableFuture<Optional<Long>> compareAndSet(
      String key, long expectedRevision, byte[] value) {
    calls++;
    if (away) {
      return CompletableFuture.failedFuture(unavailable());
    }
    long revision = Optional.ofNullable(entries.get(key)).map(Entry::revision).orElse(0L);
    if (revision != expectedRevision) {
      return answer(Optional.empty(), new CompletableFuture<>());
    }
    put(key, value);
    if (lostAnswers > 0) {
      lostAnswers--;
      return CompletableFuture.failedFuture(unavailable());
    }
    return answer(Optional.of(revision + 1), new CompletableFuture<>());
  }

  @Override
  public synchronized CompletableFuture<Optional<Entry>> watch(
      String key, long afterRevision, Duration timeout) {
    calls++;
    if (away) {
      return CompletableFuture.failedFuture(unavailable());
    }
    CompletableFuture<Optional<Entry>> answer = new CompletableFuture<>();
    Entry entry = entries.get(key);
    if (entry != null && entry.revision() > afterRevision) {
      return answer(Optional.of(entry), answer);
    }
    watches.add(new Waiting(key, afterRevision, answer));
    return answer.completeOnTimeout(Optional.empty(), timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private <T> CompletableFuture<T> answer(T value, CompletableFuture<T> answer) {
    if (delay.isZero()) {
      answer.complete(value);
    } else {
      Executor later = CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS);
      later.execute(() -> answer.complete(value));
    }
    return answer;
  }

  private static StoreUnavailableException unavailable() {
    return new StoreUnavailableException("the store is away");
  }
}
