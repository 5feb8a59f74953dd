package org.oriolewell.agent;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.oriolewell.runtime.log.EventLog;

/**
 * Executor that runs all changes of the agent's state one after another on one thread, so that the
 * state needs no locks. Tasks must not block. A task that is added after the loop was closed is
 * ignored.
 */
final class Loop implements AutoCloseable {
  /** Handle of a task that is scheduled to run later. */
  @FunctionalInterface
  interface Timer {
    /** Prevents the task from running. */
    void cancel();
  }

  private final ScheduledThreadPoolExecutor executor;
  private final EventLog log;

  private Loop(EventLog log) {
    this.log = log;
    executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "agent-loop");
              thread.setDaemon(true);
              return thread;
            });
    executor.setRemoveOnCancelPolicy(true);
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  static Loop start(EventLog log) {
    return new Loop(log);
  }

  /** Runs a task on the loop as soon as the earlier ones have finished. */
  void execute(Runnable task) {
    try {
      executor.execute(logFailures(task));
    } catch (RejectedExecutionException e) {
      // The agent has stopped, so its state is no longer used.
    }
  }

  /** Runs a task on the loop once after a delay. */
  Timer runAfter(Duration delay, Runnable task) {
    try {
      Future<?> scheduledTask =
          executor.schedule(logFailures(task), delay.toNanos(), TimeUnit.NANOSECONDS);
      return () -> scheduledTask.cancel(false);
    } catch (RejectedExecutionException e) {
      return () -> {};
    }
  }

  /** Runs a task on the loop periodically; the interval is between end and next start. */
  Timer runEvery(Duration interval, Runnable task) {
    Future<?> scheduledTask =
        executor.scheduleWithFixedDelay(
            logFailures(task), interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    return () -> scheduledTask.cancel(false);
  }

  /** Runs a query on the loop and waits for its result; must not be called on the loop itself. */
  <T> T callAndWait(Callable<T> query) {
    CompletableFuture<T> result = new CompletableFuture<>();
    executor.execute(
        () -> {
          try {
            result.complete(query.call());
          } catch (Exception e) {
            result.completeExceptionally(e);
          }
        });
    try {
      return result.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while the agent's state was read", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException("the agent's state cannot be read", e.getCause());
    }
  }

  private Runnable logFailures(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException | Error e) {
        // Without this handler a periodic task that throws would silently never run again.
        StackTraceElement[] stackTrace = e.getStackTrace();
        log.event(AgentEvent.TASK_FAILED)
            .with("at", stackTrace.length == 0 ? null : stackTrace[0])
            .cause(e)
            .write();
      }
    };
  }

  @Override
  public void close() {
    executor.shutdown();
  }
}
