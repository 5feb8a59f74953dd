package org.oriolewell.ctl;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.oriolewell.runtime.platform.KeyValueStore;
import org.oriolewell.runtime.platform.StoreUnavailableException;

/** An in-memory store with one key, which may be away. */
final class MemoryStore implements KeyValueStore {
  private Optional<Entry> entry = Optional.empty();
  private volatile boolean away;

  void away(boolean value) {
    away = value;
  }

  @Override
  public synchronized CompletableFuture<Optional<Entry>> get(String key) {
    return away ? unavailable() : CompletableFuture.completedFuture(entry);
  }

  @Override
  public synchronized CompletableFuture<Optional<Long>> compareAndSet(
      String key, long expectedRevision, byte[] value) {
    if (away) {
      return unavailable();
    }
    long revision = entry.map(Entry::revision).orElse(0L);
    if (revision != expectedRevision) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    entry = Optional.of(new Entry(revision + 1, value));
    return CompletableFuture.completedFuture(Optional.of(revision + 1));
  }

  @Override
  public CompletableFuture<Optional<Entry>> watch(
      String key, long afterRevision, Duration timeout) {
    return new CompletableFuture<Optional<Entry>>()
        .completeOnTimeout(Optional.empty(), timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static <T> CompletableFuture<T> unavailable() {
    return CompletableFuture.failedFuture(new StoreUnavailableException("the store is away"));
  }
}
