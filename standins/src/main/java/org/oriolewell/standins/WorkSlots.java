package org.oriolewell.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/** Runs work on a fixed number of slots with a bounded queue in order of arrival. */
final class WorkSlots {
  private final Timer timer;
  private final int slots;
  private final int queueLimit;
  private final Deque<Work> queue = new ArrayDeque<>();
  private int busy;

  /**
   * Work that waits or runs.
   *
   * @param nanos gives its service time when it starts
   * @param begin called when it starts
   * @param done completes when it ends
   */
  private record Work(LongSupplier nanos, Runnable begin, CompletableFuture<Void> done) {}

  WorkSlots(Timer timer, int slots, int queueLimit) {
    this.timer = timer;
    this.slots = slots;
    this.queueLimit = queueLimit;
  }

  /**
   * Runs work.
   *
   * @return completes when the work ends; fails with {@link BusyException} if the queue is full
   */
  CompletableFuture<Void> run(LongSupplier nanos, Runnable begin) {
    Work work = new Work(nanos, begin, new CompletableFuture<>());
    synchronized (this) {
      if (busy >= slots) {
        if (queue.size() >= queueLimit) {
          return CompletableFuture.failedFuture(new BusyException());
        }
        queue.addLast(work);
        return work.done();
      }
      busy++;
    }
    start(work);
    return work.done();
  }

  private void start(Work work) {
    work.begin().run();
    timer
        .afterNanos(work.nanos().getAsLong())
        .thenRun(
            () -> {
              work.done().complete(null);
              next();
            });
  }

  private void next() {
    Work work;
    synchronized (this) {
      work = queue.pollFirst();
      if (work == null) {
        busy--;
        return;
      }
    }
    start(work);
  }

  /** Returns how many works run. */
  synchronized int busy() {
    return busy;
  }

  /** Returns how many works wait. */
  synchronized int queued() {
    return queue.size();
  }
}
