package org.oriolewell.core.admission;

import java.util.Comparator;
import java.util.Objects;
import java.util.TreeSet;

/** Waiting calls of one firm: its workspaces with waiting calls in start-time fair order. */
final class FirmQueue<T> {
  final String name;
  double share;
  int inFlight;

  /** Virtual start time among the firms. */
  double tag;

  private final TreeSet<WorkspaceQueue<T>> waiting =
      new TreeSet<>(
          Comparator.comparingDouble((WorkspaceQueue<T> queue) -> queue.tag)
              .thenComparing(queue -> queue.name));
  private double waitingWeight;
  private double virtualTime;
  private int queued;

  FirmQueue(String name, double share) {
    this.name = name;
    this.share = share;
  }

  int queued() {
    return queued;
  }

  double waitingWeight() {
    return waitingWeight;
  }

  /** Returns the workspaces with waiting calls, for iteration only. */
  Iterable<WorkspaceQueue<T>> waiting() {
    return waiting;
  }

  void add(WorkspaceQueue<T> workspace, Queued<T> item) {
    if (workspace.isEmpty()) {
      workspace.tag = Math.max(workspace.tag, virtualTime);
      waiting.add(workspace);
      waitingWeight += workspace.weight;
    }
    workspace.add(item);
    queued++;
  }

  /** Takes the next call; its cost moves its workspace back in proportion to its weight. */
  Queued<T> take(double cost) {
    WorkspaceQueue<T> workspace = waiting.first();
    waiting.remove(workspace);
    final Queued<T> item = workspace.take();
    queued--;
    virtualTime = Math.max(virtualTime, workspace.tag);
    workspace.tag += cost / workspace.weight;
    if (workspace.isEmpty()) {
      left(workspace);
    } else {
      waiting.add(workspace);
    }
    return item;
  }

  /** Returns the call that {@link #take} would take. */
  Queued<T> next() {
    return Objects.requireNonNull(waiting.first().head());
  }

  /** Charges a call that was started without waiting. */
  void charge(WorkspaceQueue<T> workspace, double cost) {
    workspace.tag = Math.max(workspace.tag, virtualTime) + cost / workspace.weight;
  }

  boolean remove(WorkspaceQueue<T> workspace, Queued<T> item) {
    if (!workspace.remove(item)) {
      return false;
    }
    queued--;
    if (workspace.isEmpty()) {
      waiting.remove(workspace);
      left(workspace);
    }
    return true;
  }

  private void left(WorkspaceQueue<T> workspace) {
    // Set to exactly zero when empty, so that rounding errors don't add up.
    waitingWeight = waiting.isEmpty() ? 0 : waitingWeight - workspace.weight;
  }
}
