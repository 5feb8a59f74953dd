package org.oriolewell.core.admission;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Waiting calls of one workspace, the most urgent last, so that taking it moves nothing. */
final class WorkspaceQueue<T> {
  final String name;
  final FirmQueue<T> firm;
  double weight;

  /** Virtual start time in the firm's fair queue. */
  double tag;

  private final List<Queued<T>> items = new ArrayList<>();

  WorkspaceQueue(String name, FirmQueue<T> firm, double weight) {
    this.name = name;
    this.firm = firm;
    this.weight = weight;
  }

  int size() {
    return items.size();
  }

  boolean isEmpty() {
    return items.isEmpty();
  }

  /** Returns how many waiting calls would be served before the given one. */
  int ahead(Queued<T> item) {
    return items.size() - position(item);
  }

  void add(Queued<T> item) {
    items.add(position(item), item);
  }

  Queued<T> take() {
    return items.remove(items.size() - 1);
  }

  Queued<T> least() {
    return items.get(0);
  }

  boolean remove(Queued<T> item) {
    int position = position(item);
    if (position < items.size() && items.get(position) == item) {
      items.remove(position);
      return true;
    }
    return false;
  }

  List<Queued<T>> items() {
    return items;
  }

  @Nullable Queued<T> head() {
    return items.isEmpty() ? null : items.get(items.size() - 1);
  }

  /** Returns the index of the item, or where it would be inserted. */
  private int position(Queued<T> item) {
    int low = 0;
    int high = items.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (items.get(middle).compareTo(item) > 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
