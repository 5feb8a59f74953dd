package org.oriolewell.core.admission;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Waiting calls of one workspace in an array list, the most urgent last, so that removing it shifts
 * no others.
 */
final class WorkspaceQueue<T> {
  final String name;
  final FirmQueue<T> firm;
  double weight;

  /** Start tag of the next call in the virtual time of the firm's queue. */
  double startTag;

  private final List<QueuedCall<T>> calls = new ArrayList<>();

  WorkspaceQueue(String name, FirmQueue<T> firm, double weight) {
    this.name = name;
    this.firm = firm;
    this.weight = weight;
  }

  int size() {
    return calls.size();
  }

  boolean isEmpty() {
    return calls.isEmpty();
  }

  /** Returns how many waiting calls would be served before a given one. */
  int countAhead(QueuedCall<T> queuedCall) {
    return calls.size() - insertionIndex(queuedCall);
  }

  void add(QueuedCall<T> queuedCall) {
    calls.add(insertionIndex(queuedCall), queuedCall);
  }

  QueuedCall<T> take() {
    return calls.remove(calls.size() - 1);
  }

  QueuedCall<T> leastUrgent() {
    return calls.get(0);
  }

  boolean remove(QueuedCall<T> queuedCall) {
    int index = insertionIndex(queuedCall);
    if (index < calls.size() && calls.get(index) == queuedCall) {
      calls.remove(index);
      return true;
    }
    return false;
  }

  List<QueuedCall<T>> calls() {
    return calls;
  }

  @Nullable QueuedCall<T> head() {
    return calls.isEmpty() ? null : calls.get(calls.size() - 1);
  }

  /** Returns the index of a call, or the index at which it would be inserted. */
  private int insertionIndex(QueuedCall<T> queuedCall) {
    int lowIndex = 0;
    int highIndex = calls.size();
    while (lowIndex < highIndex) {
      int middleIndex = (lowIndex + highIndex) >>> 1;
      if (calls.get(middleIndex).compareTo(queuedCall) > 0) {
        lowIndex = middleIndex + 1;
      } else {
        highIndex = middleIndex;
      }
    }
    return lowIndex;
  }
}
