package org.oriolewell.ctl;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.oriolewell.runtime.platform.KeyValueStore;
import org.oriolewell.runtime.platform.StoreUnavailableException;

/**
 * In-memory store of a single entry, whatever its key; its calls fail while it is set unavailable.
 */
final class MemoryStore implements KeyValueStore {
  private Optional<Entry> storedEntry = Optional.empty();
  private volatile boolean unavailable;

  void setUnavailable(boolean newUnavailable) {
    unavailable = newUnavailable;
  }

  @Override
  public synchronized CompletableFuture<Optional<Entry>> get(String key) {
    return unavailable ? failedWithUnavailable() : CompletableFuture.completedFuture(storedEntry);
  }

  @Override
  public synchronized CompletableFuture<Optional<Long>> compareAndSet(
      String key, long expectedRevision, byte[] value) {
    if (unavailable) {
      return failedWithUnavailable();
    }
    long currentRevision = storedEntry.map(Entry::revision).orElse(0L);
    if (currentRevision != expectedRevision) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    storedEntry = Optional.of(new Entry(currentRevision + 1, value));
    return CompletableFuture.completedFuture(Optional.of(currentRevision + 1));
  }

  /** Reports no change: completes empty at the timeout. */
  @Override
  public CompletableFuture<Optional<Entry>> watch(
      String key, long afterRevision, Duration timeout) {
    return new CompletableFuture<Optional<Entry>>()
        .completeOnTimeout(Optional.empty(), timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static <T> CompletableFuture<T> failedWithUnavailable() {
    return CompletableFuture.failedFuture(
        new StoreUnavailableException("the store is unavailable"));
  }
}
