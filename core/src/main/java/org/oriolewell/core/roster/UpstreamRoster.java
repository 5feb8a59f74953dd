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
 * The upstreams that may receive work.
 *
 * <p>An entry that disappears while the store is away may only have lapsed: the upstream writes it
 * again shortly after the store's return. Such an entry stays usable until {@code lapseGrace} after
 * the store was regained; one that is still missing then is removed. An entry that disappears while
 * the store is well is removed at once.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class UpstreamRoster {
  private final long lapseGraceNanos;
  private final Map<String, UpstreamInstance> listed = new HashMap<>();
  private final Map<String, UpstreamInstance> lapsed = new HashMap<>();
  private Map<String, List<UpstreamInstance>> byService = Map.of();
  private long regainedAt;
  private boolean away;
  private boolean everAway;

  private UpstreamRoster(Duration lapseGrace) {
    this.lapseGraceNanos = lapseGrace.toNanos();
  }

  /**
   * Returns an empty roster.
   *
   * @param lapseGrace time after the store's return in which missing entries stay usable
   */
  public static UpstreamRoster create(Duration lapseGrace) {
    return new UpstreamRoster(lapseGrace);
  }

  /** Records that the store does not answer. */
  public void storeLost() {
    away = true;
    everAway = true;
  }

  /** Records that the store answers again. */
  public void storeRegained(long now) {
    if (away) {
      away = false;
      regainedAt = now;
    }
  }

  /** Records an entry that was written. */
  public void announced(UpstreamInstance instance) {
    listed.put(instance.id(), instance);
    lapsed.remove(instance.id());
    index();
  }

  /** Records an entry that was removed. */
  public void removed(String id, long now) {
    UpstreamInstance gone = listed.remove(id);
    if (gone != null && !gone.draining() && mayHaveLapsed(now)) {
      lapsed.put(id, gone);
    }
    index();
  }

  /** Replaces the list by a complete one. */
  public void replaceAll(Collection<UpstreamInstance> instances, long now) {
    Set<String> present = new HashSet<>();
    instances.forEach(instance -> present.add(instance.id()));
    List.copyOf(listed.keySet()).stream()
        .filter(id -> !present.contains(id))
        .forEach(id -> removed(id, now));
    instances.forEach(
        instance -> {
          listed.put(instance.id(), instance);
          lapsed.remove(instance.id());
        });
    index();
  }

  /** Removes the lapsed entries whose grace has ended; returns what was removed. */
  public List<UpstreamInstance> expireLapsed(long now) {
    if (lapsed.isEmpty() || mayHaveLapsed(now)) {
      return List.of();
    }
    List<UpstreamInstance> expired = List.copyOf(lapsed.values());
    lapsed.clear();
    index();
    return expired;
  }

  private boolean mayHaveLapsed(long now) {
    return away || (everAway && now - regainedAt < lapseGraceNanos);
  }

  /** Returns the usable upstreams of a service: listed or lapsed, and not draining. */
  public List<UpstreamInstance> usable(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Returns an upstream by id, if it is listed or lapsed. */
  public Optional<UpstreamInstance> find(String id) {
    @Nullable UpstreamInstance instance = listed.get(id);
    return Optional.ofNullable(instance == null ? lapsed.get(id) : instance);
  }

  private void index() {
    Map<String, List<UpstreamInstance>> index = new HashMap<>();
    List<UpstreamInstance> all = new ArrayList<>(listed.values());
    all.addAll(lapsed.values());
    all.stream()
        .filter(instance -> !instance.draining())
        .forEach(
            instance ->
                index.computeIfAbsent(instance.service(), s -> new ArrayList<>()).add(instance));
    byService = index;
  }
}
