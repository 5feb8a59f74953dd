package org.oriolewell.standins;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Completes futures after a time. After {@link #close} nothing completes any more. */
final class Timer implements AutoCloseable {
  private final ScheduledThreadPoolExecutor executor;

  Timer(String name) {
    executor =
        new ScheduledThreadPoolExecutor(
            2,
            work -> {
              Thread thread = new Thread(work, name);
              thread.setDaemon(true);
              return thread;
            });
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  CompletableFuture<Void> after(Duration delay) {
    return afterNanos(delay.toNanos());
  }

  /** Returns a future that completes after the delay; at once if the delay isn't positive. */
  CompletableFuture<Void> afterNanos(long nanos) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    if (nanos <= 0) {
      done.complete(null);
      return done;
    }
    try {
      executor.schedule(() -> done.complete(null), nanos, TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException e) {
      done.completeExceptionally(e);
    }
    return done;
  }

  /** Runs work on the timer's threads, each time the given time after the last run has ended. */
  void every(Duration period, Runnable work) {
    executor.scheduleWithFixedDelay(work, period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
