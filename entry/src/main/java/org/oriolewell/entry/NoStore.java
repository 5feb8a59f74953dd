package org.oriolewell.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oriolewell.runtime.platform.KeyValueStore;
import org.oriolewell.runtime.platform.StoreUnavailableException;

/** Stands for the key-value service in an entry without one; configuration comes from agents. */
final class NoStore implements KeyValueStore {
  @Override
  public CompletableFuture<Optional<Entry>> get(String key) {
    return unavailable();
  }

  @Override
  public CompletableFuture<Optional<Long>> compareAndSet(
      String key, long expectedRevision, byte[] value) {
    return unavailable();
  }

  @Override
  public CompletableFuture<Optional<Entry>> watch(
      String key, long afterRevision, Duration timeout) {
    return unavailable();
  }

  private static <T> CompletableFuture<T> unavailable() {
    return CompletableFuture.failedFuture(
        new StoreUnavailableException("the setting store.url is empty; name the store"));
  }
}
