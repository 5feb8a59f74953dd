package org.oriolewell.runtime.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's key-value service. Every call fails with {@link
 * StoreUnavailableException} if the service doesn't answer; after a failed {@link #compareAndSet}
 * the write may have taken effect.
 */
public interface KeyValueStore {
  /**
   * The value of a key and the key's revision.
   *
   * @param revision revision of the key, at least 1
   * @param value bytes of the value, at most 1 MB
   */
  record Entry(long revision, byte[] value) {}

  /** Returns the value and revision of a key, or empty if the key is absent. */
  CompletableFuture<Optional<Entry>> get(String key);

  /**
   * Writes the value of a key if the key has the expected revision.
   *
   * @param expectedRevision revision that the key must have; 0 means that it must be absent
   * @return the new revision of the key, or empty if the key has another revision than expected
   */
  CompletableFuture<Optional<Long>> compareAndSet(String key, long expectedRevision, byte[] value);

  /**
   * Waits until the key has a revision above the given one.
   *
   * @param timeout longest time to wait
   * @return the value and the new revision, or empty after the timeout
   */
  CompletableFuture<Optional<Entry>> watch(String key, long afterRevision, Duration timeout);
}
