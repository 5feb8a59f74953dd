package org.oriolewell.standins;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Numbers of the calls to a store, in total and by the first segment of the key. */
final class StoreCounters {
  private static final List<String> KINDS =
      List.of(
          "reads", "writes", "watches", "leases", "conflicts", "reads_refused", "writes_refused");

  private final Map<String, Long> totals = new TreeMap<>();
  private final Map<String, Map<String, Long>> byPrefix = new TreeMap<>();
  private long bytesWritten;
  private int waiting;

  StoreCounters() {
    KINDS.forEach(kind -> totals.put(kind, 0L));
  }

  synchronized void add(String kind, String key, int bytes) {
    totals.merge(kind, 1L, Long::sum);
    bytesWritten += bytes;
    if (!key.isEmpty()) {
      int slash = key.indexOf('/');
      byPrefix
          .computeIfAbsent(slash < 0 ? key : key.substring(0, slash), k -> new TreeMap<>())
          .merge(kind, 1L, Long::sum);
    }
  }

  synchronized void waiting(int change) {
    waiting += change;
  }

  synchronized Map<String, Object> json() {
    Map<String, Object> json = new TreeMap<>(totals);
    json.put("bytes_written", bytesWritten);
    json.put("watches_waiting", waiting);
    Map<String, Map<String, Long>> copy = new TreeMap<>();
    byPrefix.forEach((prefix, counts) -> copy.put(prefix, new TreeMap<>(counts)));
    json.put("by_prefix", copy);
    return json;
  }
}
