package org.oriolewell.bench.model;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled actions in order of virtual time; equal times run in the order scheduled. */
public final class VirtualTime {
  private final PriorityQueue<Action> queue =
      new PriorityQueue<>(Comparator.comparingLong(Action::at).thenComparingLong(Action::sequence));
  private long now;
  private long sequence;

  /** Returns the virtual time, in nanoseconds. */
  public long now() {
    return now;
  }

  /** Schedules an action after a delay in nanoseconds. */
  public void after(long nanos, Runnable action) {
    queue.add(new Action(now + Math.max(0, nanos), sequence++, action));
  }

  /** Runs all actions that are due up to a time, in nanoseconds. */
  public void runUntil(long end) {
    Action next;
    while ((next = queue.peek()) != null && next.at() <= end) {
      queue.remove();
      now = next.at();
      next.run().run();
    }
  }

  private record Action(long at, long sequence, Runnable run) {}
}
