package org.oriolewell.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oriolewell.runtime.platform.KeyValueStore;
import org.oriolewell.runtime.platform.StoreUnavailableException;

/**
 * Key-value store of an entry without a configured store: all calls fail, and the configuration
 * comes from agents.
 */
final class UnavailableStore implements KeyValueStore {
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
