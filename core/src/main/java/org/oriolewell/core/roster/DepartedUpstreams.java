package org.oriolewell.core.roster;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Upstreams that have left. When the store is restored from a copy, it may list them as ready
 * again; an entry that the upstream had written before it left doesn't make it usable.
 */
final class DepartedUpstreams {
  /** Time for which a departure is remembered; an entry of the copy expires within seconds. */
  private static final Duration MEMORY = Duration.ofMinutes(5);

  /** Most departures that are remembered; the oldest are dropped. */
  private static final int MAX_DEPARTURES = 4096;

  /** The last entry of an upstream that has left, and the number of restorations before it. */
  private record Departure(UpstreamEntry lastEntry, int restorations, long at) {}

  private final Map<String, Departure> departuresById = new LinkedHashMap<>();
  private int restorations;

  void storeRestored() {
    restorations++;
  }

  /** Records that an upstream drains or is gone, by the last entry that was read. */
  void departed(UpstreamEntry lastEntry, long now) {
    String id = lastEntry.instance().id();
    departuresById.remove(id);
    departuresById.put(id, new Departure(lastEntry, restorations, now));
    if (departuresById.size() > MAX_DEPARTURES) {
      departuresById.remove(departuresById.keySet().iterator().next());
    }
  }

  /** Records that an upstream is usable. */
  void returned(String id) {
    departuresById.remove(id);
  }

  /** Returns whether an entry comes from a copy of the store and its upstream has left since. */
  boolean isOutdated(UpstreamEntry entry, long now) {
    Departure departure = departuresById.get(entry.instance().id());
    return departure != null
        && departure.restorations() < restorations
        && departure.lastEntry().instance().startedMillis() == entry.instance().startedMillis()
        && entry.sequence() <= departure.lastEntry().sequence()
        && !entry.instance().draining()
        && now - departure.at() <= MEMORY.toNanos();
  }
}
