package org.oriolewell.core.roster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The upstreams that may receive work, from the entries that they write into the platform's store.
 *
 * <p>An entry that disappears during an outage of the store may only have expired: its upstream
 * writes it again shortly after the store is available. Such an entry stays usable until {@code
 * lapseGrace} after the outage; if it is still missing then, it is removed. An entry that
 * disappears while the store is available is removed at once.
 *
 * <p>A store that was restored from a copy may lack entries, as after an outage, and may list
 * upstreams as ready that have left; they stay unused until they write an entry of their own.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class UpstreamRoster {
  private final long lapseGraceNanos;
  private final Map<String, UpstreamEntry> listedById = new HashMap<>();
  private final Map<String, UpstreamEntry> missingSinceOutageById = new HashMap<>();
  private final DepartedUpstreams departedUpstreams = new DepartedUpstreams();
  private Map<String, List<UpstreamInstance>> usableByService = Map.of();
  private long outageEndedAt;
  private boolean storeUnavailable;
  private boolean hadOutage;

  private UpstreamRoster(Duration lapseGrace) {
    this.lapseGraceNanos = lapseGrace.toNanos();
  }

  /**
   * Returns a roster without upstreams.
   *
   * @param lapseGrace time after an outage of the store in which missing entries stay usable
   */
  public static UpstreamRoster create(Duration lapseGrace) {
    return new UpstreamRoster(lapseGrace);
  }

  /** Records that an outage of the store started. */
  public void storeLost() {
    storeUnavailable = true;
    hadOutage = true;
  }

  /** Records that the store answers again after an outage. */
  public void storeRegained(long now) {
    if (storeUnavailable) {
      storeUnavailable = false;
      outageEndedAt = now;
    }
  }

  /** Records that the store has come back with an older copy of its entries. */
  public void storeRestored(long now) {
    storeLost();
    storeRegained(now);
    departedUpstreams.storeRestored();
  }

  /**
   * Adds or updates an upstream whose entry was written to the store.
   *
   * @return false if the entry is ignored, since its upstream has left after writing it
   */
  public boolean entryWritten(UpstreamEntry entry, long now) {
    boolean accepted = accept(entry, now);
    updateUsable();
    return accepted;
  }

  private boolean accept(UpstreamEntry entry, long now) {
    if (departedUpstreams.isOutdated(entry, now)) {
      return false;
    }
    String id = entry.instance().id();
    listedById.put(id, entry);
    missingSinceOutageById.remove(id);
    if (entry.instance().draining()) {
      departedUpstreams.departed(entry, now);
    } else {
      departedUpstreams.returned(id);
    }
    return true;
  }

  /** Removes an upstream whose entry disappeared from the store, unless it may have expired. */
  public void entryRemoved(String id, long now) {
    UpstreamEntry removedEntry = listedById.remove(id);
    if (removedEntry != null && !removedEntry.instance().draining()) {
      if (mayHaveExpired(now)) {
        missingSinceOutageById.put(id, removedEntry);
      } else {
        departedUpstreams.departed(removedEntry, now);
      }
    }
    updateUsable();
  }

  /** Replaces the listed upstreams by a complete list read from the store. */
  public void replaceAll(Collection<UpstreamEntry> entries, long now) {
    Set<String> presentIds = new HashSet<>();
    entries.forEach(entry -> presentIds.add(entry.instance().id()));
    List.copyOf(listedById.keySet()).stream()
        .filter(id -> !presentIds.contains(id))
        .forEach(id -> entryRemoved(id, now));
    entries.forEach(entry -> accept(entry, now));
    updateUsable();
  }

  /** Removes and returns the upstreams whose entries are still missing after the grace period. */
  public List<UpstreamInstance> expireLapsed(long now) {
    if (missingSinceOutageById.isEmpty() || mayHaveExpired(now)) {
      return List.of();
    }
    List<UpstreamEntry> removedEntries = List.copyOf(missingSinceOutageById.values());
    missingSinceOutageById.clear();
    removedEntries.forEach(entry -> departedUpstreams.departed(entry, now));
    updateUsable();
    return removedEntries.stream().map(UpstreamEntry::instance).toList();
  }

  private boolean mayHaveExpired(long now) {
    return storeUnavailable || (hadOutage && now - outageEndedAt < lapseGraceNanos);
  }

  /** Returns a service's usable upstreams: not draining, listed or missing since an outage. */
  public List<UpstreamInstance> usable(String service) {
    return usableByService.getOrDefault(service, List.of());
  }

  /** Returns the upstream with an id, if it is listed or missing since an outage. */
  public Optional<UpstreamInstance> find(String id) {
    @Nullable UpstreamEntry entry = listedById.get(id);
    return Optional.ofNullable(entry == null ? missingSinceOutageById.get(id) : entry)
        .map(UpstreamEntry::instance);
  }

  private void updateUsable() {
    Map<String, List<UpstreamInstance>> usable = new HashMap<>();
    List<UpstreamEntry> entries = new ArrayList<>(listedById.values());
    entries.addAll(missingSinceOutageById.values());
    entries.stream()
        .map(UpstreamEntry::instance)
        .filter(instance -> !instance.draining())
        .forEach(
            instance ->
                usable.computeIfAbsent(instance.service(), key -> new ArrayList<>()).add(instance));
    usableByService = usable;
  }
}
