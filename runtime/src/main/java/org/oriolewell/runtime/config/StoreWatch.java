package org.oriolewell.runtime.config;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.platform.KeyValueStore;

/** Reads or watches the document's key. All methods but close run on the service's thread. */
final class StoreWatch implements AutoCloseable {
  /** Length of one waiting watch, so that an idle watcher makes one call in this time. */
  static final Duration WAIT = Duration.ofSeconds(30);

  private static final Duration MIN_DELAY = Duration.ofMillis(250);
  private static final Duration MAX_DELAY = Duration.ofSeconds(5);

  /** Pause after a watch without a value, in case the store answers at once for an absent key. */
  private static final Duration EMPTY_DELAY = Duration.ofMillis(100);

  private final KeyValueStore store;
  private final ScheduledExecutorService executor;
  private final RandomGenerator random;
  private final EventLog log;
  private final Consumer<KeyValueStore.Entry> values;
  private boolean active;
  private boolean unavailable;
  private long generation;
  private long revision;
  private Duration delay = MIN_DELAY;
  private volatile @Nullable CompletableFuture<?> pending;
  private volatile boolean closed;

  StoreWatch(
      KeyValueStore store,
      ScheduledExecutorService executor,
      RandomGenerator random,
      EventLog log,
      Consumer<KeyValueStore.Entry> values) {
    this.store = store;
    this.executor = executor;
    this.random = random;
    this.log = log;
    this.values = values;
  }

  boolean active() {
    return active;
  }

  /** Starts or ends the watch. */
  void setActive(boolean wanted) {
    if (wanted == active) {
      return;
    }
    active = wanted;
    generation++;
    log.event(wanted ? ConfigEvent.CONFIG_WATCHER_STARTED : ConfigEvent.CONFIG_WATCHER_STOPPED)
        .write();
    cancel();
    if (wanted) {
      next(generation, false);
    }
  }

  /** Reads the value once. */
  void readOnce() {
    store.get(ConfigService.KEY).whenCompleteAsync(this::done, executor());
  }

  /** Returns a jittered pause before the next call, which grows with each failure. */
  Duration retryDelay() {
    return Duration.ofMillis((long) (delay.toMillis() * (0.5 + random.nextDouble())));
  }

  private void next(long mine, boolean watching) {
    if (mine != generation) {
      return;
    }
    CompletableFuture<Optional<KeyValueStore.Entry>> call =
        watching ? store.watch(ConfigService.KEY, revision, WAIT) : store.get(ConfigService.KEY);
    pending = call;
    call.whenCompleteAsync(
        (value, failure) -> {
          if (mine != generation || closed) {
            return;
          }
          done(value, failure);
          if (failure != null) {
            schedule(() -> next(mine, false), retryDelay());
          } else if (watching && value.isEmpty()) {
            schedule(() -> next(mine, true), EMPTY_DELAY);
          } else {
            next(mine, true);
          }
        },
        executor());
  }

  private void schedule(Runnable task, Duration pause) {
    executor.schedule(task, pause.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void done(@Nullable Optional<KeyValueStore.Entry> value, @Nullable Throwable failure) {
    if (failure != null || value == null) {
      if (!unavailable && failure != null) {
        log.event(ConfigEvent.CONFIG_STORE_UNAVAILABLE).cause(failure).write();
      }
      unavailable = true;
      Duration doubled = delay.multipliedBy(2);
      delay = doubled.compareTo(MAX_DELAY) > 0 ? MAX_DELAY : doubled;
      return;
    }
    unavailable = false;
    delay = MIN_DELAY;
    value.ifPresent(
        entry -> {
          revision = entry.revision();
          values.accept(entry);
        });
  }

  private Executor executor() {
    return task -> {
      if (!executor.isShutdown()) {
        executor.execute(task);
      }
    };
  }

  private void cancel() {
    CompletableFuture<?> call = pending;
    if (call != null) {
      call.cancel(false);
    }
  }

  @Override
  public void close() {
    closed = true;
    cancel();
  }
}
