package org.oriolewell.core.admission;

/**
 * A waiting call. Its natural order is the order of service in its workspace: higher priority, then
 * earlier deadline, then order of arrival.
 *
 * @param offered call as it was offered
 * @param queue queue of the call's workspace
 * @param sequence position in the order of arrival over all workspaces
 */
record QueuedCall<T>(OfferedCall<T> offered, WorkspaceQueue<T> queue, long sequence)
    implements Comparable<QueuedCall<T>> {
  @Override
  public int compareTo(QueuedCall<T> other) {
    int byPriority = Integer.compare(other.offered.priority(), offered.priority());
    if (byPriority != 0) {
      return byPriority;
    }
    int byDeadline = Long.compare(offered.deadlineNanos(), other.offered.deadlineNanos());
    return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
  }
}
