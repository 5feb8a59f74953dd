package org.oriolewell.runtime.net;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;

/**
 * The only thread of an event loop, and the exclusive ownership of the loop while a task runs.
 *
 * <p>Tasks are handed to this thread, so the lock is free whenever a task begins. The lock makes an
 * error in this rule visible, and keeps its consequence from tasks: they still don't overlap.
 */
final class LoopThread {
  /** Package of the frames of a failed task that are logged: those of libraries say little. */
  private static final String PACKAGE_PREFIX = "org.oriolewell.";

  /** Most frames of a failed task that are logged. */
  private static final int MAX_LOGGED_FRAMES = 4;

  private final Thread thread;
  private final ReentrantLock ownership = new ReentrantLock();
  private final EventLog log;
  private final Consumer<Error> onFatal;
  private final Runnable selectLoop;
  private final AtomicLong overlapCount;
  private volatile boolean stopping;

  /**
   * Creates the thread without starting it.
   *
   * @param selectLoop work of the thread, which ends when the loop is closed
   * @param onFatal called with an error after which tasks can no longer run reliably
   * @param overlapCount counts the tasks that were to run beside another one
   */
  LoopThread(
      String name,
      Runnable selectLoop,
      EventLog log,
      Consumer<Error> onFatal,
      AtomicLong overlapCount) {
    this.selectLoop = selectLoop;
    this.overlapCount = overlapCount;
    this.log = log;
    this.onFatal = onFatal;
    thread = new Thread(this::select, name);
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Announces that the end of the thread's work is intended. */
  void stopping() {
    stopping = true;
  }

  /** Waits for the end of the thread. */
  void join() throws InterruptedException {
    thread.join();
  }

  /** Returns whether the current thread is the loop's thread. */
  boolean isCurrent() {
    return Thread.currentThread() == thread;
  }

  /** Returns whether the current thread is running a task of the loop. */
  boolean inTask() {
    return ownership.isHeldByCurrentThread();
  }

  private void select() {
    Throwable cause = new IllegalStateException("the selector of the event loop has ended");
    try {
      selectLoop.run();
    } catch (RuntimeException | Error e) {
      cause = e;
    }
    if (!stopping) {
      logFailure(cause);
      onFatal.accept(new Error("the event loop runs no more tasks", cause));
    }
  }

  /**
   * Runs a task while the loop is owned; a task may run another one within itself. A task that
   * overlaps with one of another thread is counted and logged, and waits for its end.
   */
  void run(Runnable task) {
    if (!ownership.tryLock()) {
      overlapCount.incrementAndGet();
      log.event(RuntimeEvent.TASKS_OVERLAP)
          .with("thread", Thread.currentThread().getName())
          .cause(new IllegalStateException("a task was to run beside another one of its loop"))
          .write();
      ownership.lock();
    }
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      handleFailure(e);
    } finally {
      ownership.unlock();
    }
  }

  /** Logs the failure of a task, and reports it if no further task can run reliably. */
  void handleFailure(Throwable failure) {
    logFailure(failure);
    if (failure instanceof LinkageError || failure instanceof VirtualMachineError) {
      onFatal.accept((Error) failure);
    }
  }

  private void logFailure(Throwable failure) {
    StackTraceElement[] stackTrace = failure.getStackTrace();
    log.event(RuntimeEvent.TASK_FAILED)
        .with("at", stackTrace.length == 0 ? null : stackTrace[0])
        .with(
            "called_from",
            Arrays.stream(stackTrace)
                .filter(frame -> frame.getClassName().startsWith(PACKAGE_PREFIX))
                .limit(MAX_LOGGED_FRAMES)
                .map(StackTraceElement::toString)
                .toList())
        .cause(failure)
        .write();
  }
}
