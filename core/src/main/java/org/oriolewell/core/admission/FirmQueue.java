package org.oriolewell.core.admission;

import java.util.Comparator;
import java.util.Objects;
import java.util.TreeSet;

/**
 * Waiting calls of one firm. Its workspaces with waiting calls are in the order of their start tags
 * (start-time fair queuing).
 */
final class FirmQueue<T> {
  final String name;
  double share;

  /** Calls of this firm at the upstream. */
  int inFlight;

  /** Start tag of the firm's next call in the virtual time of all firms. */
  double startTag;

  private final TreeSet<WorkspaceQueue<T>> waitingWorkspaces =
      new TreeSet<>(
          Comparator.comparingDouble((WorkspaceQueue<T> queue) -> queue.startTag)
              .thenComparing(queue -> queue.name));

  /** Sum of the weights of the workspaces with waiting calls. */
  private double waitingWeight;

  /** Largest start tag of a workspace that was served. */
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
  Iterable<WorkspaceQueue<T>> waitingWorkspaces() {
    return waitingWorkspaces;
  }

  void add(WorkspaceQueue<T> workspace, QueuedCall<T> queuedCall) {
    if (workspace.isEmpty()) {
      workspace.startTag = Math.max(workspace.startTag, virtualTime);
      waitingWorkspaces.add(workspace);
      waitingWeight += workspace.weight;
    }
    workspace.add(queuedCall);
    queued++;
  }

  /**
   * Removes and returns the next call. Its cost in nanoseconds, divided by its workspace's weight,
   * is added to the workspace's start tag.
   */
  QueuedCall<T> take(double costNanos) {
    WorkspaceQueue<T> workspace = waitingWorkspaces.first();
    waitingWorkspaces.remove(workspace);
    final QueuedCall<T> queuedCall = workspace.take();
    queued--;
    virtualTime = Math.max(virtualTime, workspace.startTag);
    workspace.startTag += costNanos / workspace.weight;
    if (workspace.isEmpty()) {
      subtractWeight(workspace);
    } else {
      waitingWorkspaces.add(workspace);
    }
    return queuedCall;
  }

  /** Returns the call that {@link #take} would return, without removing it. */
  QueuedCall<T> next() {
    return Objects.requireNonNull(waitingWorkspaces.first().head());
  }

  /**
   * Adds the cost in nanoseconds of a call that started without waiting to its workspace's start
   * tag.
   */
  void charge(WorkspaceQueue<T> workspace, double costNanos) {
    workspace.startTag = Math.max(workspace.startTag, virtualTime) + costNanos / workspace.weight;
  }

  boolean remove(WorkspaceQueue<T> workspace, QueuedCall<T> queuedCall) {
    if (!workspace.remove(queuedCall)) {
      return false;
    }
    queued--;
    if (workspace.isEmpty()) {
      waitingWorkspaces.remove(workspace);
      subtractWeight(workspace);
    }
    return true;
  }

  private void subtractWeight(WorkspaceQueue<T> workspace) {
    // Set to exactly 0 when no workspace waits, so that rounding errors don't add up.
    waitingWeight = waitingWorkspaces.isEmpty() ? 0 : waitingWeight - workspace.weight;
  }
}
