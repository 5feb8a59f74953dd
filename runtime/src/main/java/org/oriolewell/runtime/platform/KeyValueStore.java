package org.oriolewell.runtime.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service. Every call fails with {@link StoreUnavailableException} if the
 * service doesn't answer; after a failed {@link #compareAndSet} the write may have taken effect.
 */
public interface KeyValueStore {
  /**
   * A value with its revision.
   *
   * @param revision revision of the key, at least 1
   * @param value the bytes, at most 1 MB
   */
  record Entry(long revision, byte[] value) {}

  /** Returns the value of a key, or empty if it's absent. */
  CompletableFuture<Optional<Entry>> get(String key);

  /**
   * Writes a value if the key has the expected revision.
   *
   * @param expectedRevision revision that the key must have; 0 means that it must be absent
   * @return the new revision, or empty if the key has another revision
   */
  CompletableFuture<Optional<Long>> compareAndSet(String key, long expectedRevision, byte[] value);

  /**
   * Waits until the key has a revision above the given one.
   *
   * @return the value, or empty after the timeout
   */
  CompletableFuture<Optional<Entry>> watch(String key, long afterRevision, Duration timeout);
}
