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
 * Runs all changes of the agent's state one after another on one thread, so that the state needs no
 * locks. Tasks must not block. A task that arrives after the loop is closed is dropped.
 */
final class Loop implements AutoCloseable {
  /** A task that is to run later. */
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

  void execute(Runnable task) {
    try {
      executor.execute(guarded(task));
    } catch (RejectedExecutionException e) {
      // The agent has stopped; nothing reads the state any more.
    }
  }

  Timer after(Duration delay, Runnable task) {
    try {
      Future<?> future = executor.schedule(guarded(task), delay.toNanos(), TimeUnit.NANOSECONDS);
      return () -> future.cancel(false);
    } catch (RejectedExecutionException e) {
      return () -> {};
    }
  }

  Timer every(Duration interval, Runnable task) {
    Future<?> future =
        executor.scheduleWithFixedDelay(
            guarded(task), interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    return () -> future.cancel(false);
  }

  /** Runs a task on the loop and waits for its value; must not be called from the loop. */
  <T> T ask(Callable<T> task) {
    CompletableFuture<T> value = new CompletableFuture<>();
    executor.execute(
        () -> {
          try {
            value.complete(task.call());
          } catch (Exception e) {
            value.completeExceptionally(e);
          }
        });
    try {
      return value.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while the agent's state was read", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException("the agent's state cannot be read", e.getCause());
    }
  }

  private Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException | Error e) {
        // A periodic task that throws would never run again, and nobody would hear of it.
        StackTraceElement[] trace = e.getStackTrace();
        log.event(AgentEvent.TASK_FAILED)
            .with("at", trace.length == 0 ? null : trace[0])
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
