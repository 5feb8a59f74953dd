package org.oriolewell.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Values of a store with their revisions. Revisions rise across all keys, so that a key that was
 * removed and written again never has an earlier revision.
 */
final class StoreValues {
  private final Map<String, Value> values = new HashMap<>();
  private final Map<String, List<Watch>> watches = new HashMap<>();
  private long lastRevision;

  /**
   * A value.
   *
   * @param revision revision of the write
   * @param bytes the value
   * @param lease lease with whose end the key is removed
   */
  record Value(long revision, byte[] bytes, Optional<String> lease) {}

  /**
   * A caller that waits for a change.
   *
   * @param after revision that the caller has
   * @param changed completes with a newer value
   */
  private record Watch(long after, CompletableFuture<Value> changed) {}

  synchronized Optional<Value> get(String key) {
    return Optional.ofNullable(values.get(key));
  }

  /** Returns the revision of a key; 0 if it's absent. */
  synchronized long revision(String key) {
    return get(key).map(Value::revision).orElse(0L);
  }

  /** Writes a value if the key has the expected revision, and returns the new revision. */
  Optional<Long> compareAndSet(String key, long expected, byte[] bytes, Optional<String> lease) {
    Value value;
    List<Watch> waiting;
    synchronized (this) {
      if (revision(key) != expected) {
        return Optional.empty();
      }
      value = new Value(++lastRevision, bytes, lease);
      values.put(key, value);
      waiting = Optional.ofNullable(watches.remove(key)).orElse(List.of());
    }
    waiting.forEach(watch -> watch.changed().complete(value));
    return Optional.of(value.revision());
  }

  /** Removes a key if it has the expected revision. Watches go on waiting. */
  synchronized boolean remove(String key, long expected) {
    if (expected == 0 || revision(key) != expected) {
      return false;
    }
    values.remove(key);
    return true;
  }

  /** Removes all keys of a lease. */
  synchronized void removeLease(String lease) {
    values.values().removeIf(value -> value.lease().filter(lease::equals).isPresent());
  }

  /** Returns a future that completes when the key has a later revision. Cancelling it ends it. */
  CompletableFuture<Value> await(String key, long after) {
    Watch watch = new Watch(after, new CompletableFuture<>());
    synchronized (this) {
      Value value = values.get(key);
      if (value != null && value.revision() > after) {
        watch.changed().complete(value);
        return watch.changed();
      }
      watches.computeIfAbsent(key, k -> new ArrayList<>()).add(watch);
    }
    watch.changed().whenComplete((value, end) -> forget(key, watch));
    return watch.changed();
  }

  private synchronized void forget(String key, Watch watch) {
    List<Watch> waiting = watches.get(key);
    if (waiting != null) {
      waiting.remove(watch);
      if (waiting.isEmpty()) {
        watches.remove(key);
      }
    }
  }
}
