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

/**
 * Reads and watches the configuration document in the store. All methods except {@link #close} run
 * on the thread of {@link ConfigService}.
 */
final class StoreWatch implements AutoCloseable {
  /** Timeout of one watch call; an idle watcher makes one call to the store in this time. */
  static final Duration WATCH_TIMEOUT = Duration.ofSeconds(30);

  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(250);
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(5);

  /** Delay after a watch without a value, in case the store answers at once for an absent key. */
  private static final Duration EMPTY_WATCH_DELAY = Duration.ofMillis(100);

  private final KeyValueStore store;
  private final ScheduledExecutorService executor;
  private final RandomGenerator random;
  private final EventLog log;
  private final Consumer<KeyValueStore.Entry> entryListener;
  private boolean active;
  private boolean storeUnavailable;
  private long watchGeneration;
  private long lastRevision;
  private Duration meanRetryDelay = MIN_RETRY_DELAY;
  private volatile @Nullable CompletableFuture<?> pendingCall;
  private volatile boolean closed;

  StoreWatch(
      KeyValueStore store,
      ScheduledExecutorService executor,
      RandomGenerator random,
      EventLog log,
      Consumer<KeyValueStore.Entry> entryListener) {
    this.store = store;
    this.executor = executor;
    this.random = random;
    this.log = log;
    this.entryListener = entryListener;
  }

  boolean active() {
    return active;
  }

  /** Starts or ends the watch of the document. */
  void setActive(boolean newActive) {
    if (newActive == active) {
      return;
    }
    active = newActive;
    watchGeneration++;
    log.event(newActive ? ConfigEvent.CONFIG_WATCHER_STARTED : ConfigEvent.CONFIG_WATCHER_STOPPED)
        .write();
    cancelPendingCall();
    if (newActive) {
      callStore(watchGeneration, false);
    }
  }

  /** Reads the document from the store once. */
  void readOnce() {
    store
        .get(ConfigService.DOCUMENT_KEY)
        .whenCompleteAsync(this::handleAnswer, executorUntilClosed());
  }

  /** Returns the delay before the next store call, which has jitter and grows with failures. */
  Duration retryDelay() {
    return Duration.ofMillis((long) (meanRetryDelay.toMillis() * (0.5 + random.nextDouble())));
  }

  private void callStore(long callGeneration, boolean watching) {
    if (callGeneration != watchGeneration) {
      return;
    }
    CompletableFuture<Optional<KeyValueStore.Entry>> call =
        watching
            ? store.watch(ConfigService.DOCUMENT_KEY, lastRevision, WATCH_TIMEOUT)
            : store.get(ConfigService.DOCUMENT_KEY);
    pendingCall = call;
    call.whenCompleteAsync(
        (value, failure) -> {
          if (callGeneration != watchGeneration || closed) {
            return;
          }
          handleAnswer(value, failure);
          if (failure != null) {
            schedule(() -> callStore(callGeneration, false), retryDelay());
          } else if (watching && value.isEmpty()) {
            schedule(() -> callStore(callGeneration, true), EMPTY_WATCH_DELAY);
          } else {
            callStore(callGeneration, true);
          }
        },
        executorUntilClosed());
  }

  private void schedule(Runnable task, Duration taskDelay) {
    executor.schedule(task, taskDelay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void handleAnswer(
      @Nullable Optional<KeyValueStore.Entry> value, @Nullable Throwable failure) {
    if (failure != null || value == null) {
      if (!storeUnavailable && failure != null) {
        log.event(ConfigEvent.CONFIG_STORE_UNAVAILABLE).cause(failure).write();
      }
      storeUnavailable = true;
      Duration doubledDelay = meanRetryDelay.multipliedBy(2);
      meanRetryDelay = doubledDelay.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : doubledDelay;
      return;
    }
    storeUnavailable = false;
    meanRetryDelay = MIN_RETRY_DELAY;
    value.ifPresent(
        entry -> {
          lastRevision = entry.revision();
          entryListener.accept(entry);
        });
  }

  /** Returns an executor that drops tasks once the service is closed. */
  private Executor executorUntilClosed() {
    return task -> {
      if (!executor.isShutdown()) {
        executor.execute(task);
      }
    };
  }

  private void cancelPendingCall() {
    CompletableFuture<?> call = pendingCall;
    if (call != null) {
      call.cancel(false);
    }
  }

  @Override
  public void close() {
    closed = true;
    cancelPendingCall();
  }
}
