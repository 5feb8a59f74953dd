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

/** In-memory store that can be unavailable, be slow, or lose the answers to its next writes. */
public final class FaultyStore implements KeyValueStore {
  private record OpenWatch(
      String key, long afterRevision, CompletableFuture<Optional<Entry>> answer) {}

  private final Map<String, Entry> entries = new HashMap<>();
  private final List<OpenWatch> openWatches = new ArrayList<>();
  private boolean unavailable;
  private boolean silentWatches;
  private int answersToLose;
  private Duration answerDelay = Duration.ZERO;
  private int callCount;

  /** Makes the store unavailable or available; its open watches fail once it is unavailable. */
  public synchronized void setUnavailable(boolean value) {
    unavailable = value;
    if (value) {
      List<OpenWatch> failedWatches = List.copyOf(openWatches);
      openWatches.clear();
      failedWatches.forEach(watch -> watch.answer().completeExceptionally(unavailable()));
    }
  }

  /** Sets whether open watches are kept from getting the values of new writes. */
  public synchronized void setWatchesSilent(boolean value) {
    silentWatches = value;
  }

  /** Loses the answers to the next {@code count} writes after they took effect. */
  public synchronized void loseAnswers(int count) {
    answersToLose = count;
  }

  /** Sets the delay of each answer. */
  public synchronized void setAnswerDelay(Duration value) {
    answerDelay = value;
  }

  /** Returns the number of calls since the start, in which a watch counts as one call. */
  public synchronized int callCount() {
    return callCount;
  }

  /** Returns the number of open watches that have no answer yet. */
  public synchronized int openWatchCount() {
    return (int) openWatches.stream().filter(watch -> !watch.answer().isDone()).count();
  }

  /** Replaces a value without a revision check, as another program would. */
  public synchronized void put(String key, byte[] value) {
    long revision = Optional.ofNullable(entries.get(key)).map(Entry::revision).orElse(0L) + 1;
    Entry entry = new Entry(revision, value);
    entries.put(key, entry);
    if (silentWatches) {
      return;
    }
    List<OpenWatch> answerable =
        openWatches.stream()
            .filter(watch -> watch.key().equals(key) && watch.afterRevision() < revision)
            .toList();
    openWatches.removeAll(answerable);
    answerable.forEach(watch -> answer(Optional.of(entry), watch.answer()));
  }

  @Override
  public synchronized CompletableFuture<Optional<Entry>> get(String key) {
    callCount++;
    return unavailable
        ? CompletableFuture.failedFuture(unavailable())
        : answer(Optional.ofNullable(entries.get(key)), new CompletableFuture<>());
  }

  @Override
  public synchronized CompletableFuture<Optional<Long>> compareAndSet(
      String key, long expectedRevision, byte[] value) {
    callCount++;
    if (unavailable) {
      return CompletableFuture.failedFuture(unavailable());
    }
    long revision = Optional.ofNullable(entries.get(key)).map(Entry::revision).orElse(0L);
    if (revision != expectedRevision) {
      return answer(Optional.empty(), new CompletableFuture<>());
    }
    put(key, value);
    if (answersToLose > 0) {
      answersToLose--;
      return CompletableFuture.failedFuture(unavailable());
    }
    return answer(Optional.of(revision + 1), new CompletableFuture<>());
  }

  @Override
  public synchronized CompletableFuture<Optional<Entry>> watch(
      String key, long afterRevision, Duration timeout) {
    callCount++;
    if (unavailable) {
      return CompletableFuture.failedFuture(unavailable());
    }
    CompletableFuture<Optional<Entry>> answer = new CompletableFuture<>();
    Entry entry = entries.get(key);
    if (entry != null && entry.revision() > afterRevision) {
      return answer(Optional.of(entry), answer);
    }
    openWatches.add(new OpenWatch(key, afterRevision, answer));
    return answer.completeOnTimeout(Optional.empty(), timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private <T> CompletableFuture<T> answer(T value, CompletableFuture<T> answer) {
    if (answerDelay.isZero()) {
      answer.complete(value);
    } else {
      Executor delayedExecutor =
          CompletableFuture.delayedExecutor(answerDelay.toMillis(), TimeUnit.MILLISECONDS);
      delayedExecutor.execute(() -> answer.complete(value));
    }
    return answer;
  }

  private static StoreUnavailableException unavailable() {
    return new StoreUnavailableException("the store is unavailable");
  }
}
