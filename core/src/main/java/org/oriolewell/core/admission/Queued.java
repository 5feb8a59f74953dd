package org.oriolewell.core.admission;

/** A waiting call. The smaller one in order is served first. */
record Queued<T>(OfferedCall<T> work, WorkspaceQueue<T> queue, long sequence)
    implements Comparable<Queued<T>> {
  @Override
  public int compareTo(Queued<T> other) {
    int byPriority = Integer.compare(other.work.priority(), work.priority());
    if (byPriority != 0) {
      return byPriority;
    }
    int byDeadline = Long.compare(work.deadlineNanos(), other.work.deadlineNanos());
    return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
  }
}
