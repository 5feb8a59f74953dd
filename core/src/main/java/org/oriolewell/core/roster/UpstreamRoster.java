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
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class UpstreamRoster {
  private final long lapseGraceNanos;
  private final Map<String, UpstreamInstance> listedById = new HashMap<>();
  private final Map<String, UpstreamInstance> missingSinceOutageById = new HashMap<>();
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

  /** Adds or updates an upstream whose entry was written to the store. */
  public void entryWritten(UpstreamInstance instance) {
    listedById.put(instance.id(), instance);
    missingSinceOutageById.remove(instance.id());
    updateUsable();
  }

  /** Removes an upstream whose entry disappeared from the store, unless it may have expired. */
  public void entryRemoved(String id, long now) {
    UpstreamInstance removedInstance = listedById.remove(id);
    if (removedInstance != null && !removedInstance.draining() && mayHaveExpired(now)) {
      missingSinceOutageById.put(id, removedInstance);
    }
    updateUsable();
  }

  /** Replaces the listed upstreams by a complete list read from the store. */
  public void replaceAll(Collection<UpstreamInstance> instances, long now) {
    Set<String> presentIds = new HashSet<>();
    instances.forEach(instance -> presentIds.add(instance.id()));
    List.copyOf(listedById.keySet()).stream()
        .filter(id -> !presentIds.contains(id))
        .forEach(id -> entryRemoved(id, now));
    instances.forEach(
        instance -> {
          listedById.put(instance.id(), instance);
          missingSinceOutageById.remove(instance.id());
        });
    updateUsable();
  }

  /** Removes and returns the upstreams whose entries are still missing after the grace period. */
  public List<UpstreamInstance> expireLapsed(long now) {
    if (missingSinceOutageById.isEmpty() || mayHaveExpired(now)) {
      return List.of();
    }
    List<UpstreamInstance> removedInstances = List.copyOf(missingSinceOutageById.values());
    missingSinceOutageById.clear();
    updateUsable();
    return removedInstances;
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
    @Nullable UpstreamInstance instance = listedById.get(id);
    return Optional.ofNullable(instance == null ? missingSinceOutageById.get(id) : instance);
  }

  private void updateUsable() {
    Map<String, List<UpstreamInstance>> usable = new HashMap<>();
    List<UpstreamInstance> instances = new ArrayList<>(listedById.values());
    instances.addAll(missingSinceOutageById.values());
    instances.stream()
        .filter(instance -> !instance.draining())
        .forEach(
            instance ->
                usable.computeIfAbsent(instance.service(), key -> new ArrayList<>()).add(instance));
    usableByService = usable;
  }
}
