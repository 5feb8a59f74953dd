package org.oriolewell.core.eligibility;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import org.oriolewell.core.roster.UpstreamInstance;

/**
 * The availability zones whose upstreams get no more calls, by order of the operators in the
 * platform's store.
 *
 * <p>A store that was restored from an older copy may lack an order that it had acknowledged. Until
 * its history is settled, known orders that it lacks stay in force. Not thread-safe.
 */
public final class EvacuatedZones implements EligibilityRule {
  private static final Eligibility EVACUATED =
      new Eligibility.Blocked(Reason.EVACUATED, Duration.ZERO);

  private final Set<String> zones = new TreeSet<>();

  /** Zones whose orders the store lacks in a history that isn't settled. */
  private final Set<String> unlistedZones = new HashSet<>();

  private EvacuatedZones() {}

  /** Returns a set without evacuated zones. */
  public static EvacuatedZones create() {
    return new EvacuatedZones();
  }

  /** Records an order to evacuate a zone; returns whether it is new. */
  public boolean ordered(String zone) {
    unlistedZones.remove(zone);
    return zones.add(zone);
  }

  /** Records that the order for a zone was removed; returns whether there was one. */
  public boolean removed(String zone) {
    unlistedZones.remove(zone);
    return zones.remove(zone);
  }

  /**
   * Records that everything was read again, in which some known orders are missing.
   *
   * @param listed zones whose orders are in the store
   * @param settled whether the store's history is settled, so that a missing order was removed
   * @return known zones that the store doesn't list
   */
  public Set<String> reread(Set<String> listed, boolean settled) {
    Set<String> missing = new TreeSet<>(zones);
    missing.removeAll(listed);
    unlistedZones.clear();
    if (settled) {
      zones.removeAll(missing);
    } else {
      unlistedZones.addAll(missing);
    }
    return missing;
  }

  /** Records that the history is settled; returns the zones whose missing orders end with it. */
  public Set<String> settled() {
    Set<String> ended = new TreeSet<>(unlistedZones);
    zones.removeAll(ended);
    unlistedZones.clear();
    return ended;
  }

  /** Returns whether a zone is evacuated. */
  public boolean contains(String zone) {
    return zones.contains(zone);
  }

  /** Returns the number of evacuated zones. */
  public int size() {
    return zones.size();
  }

  @Override
  public boolean active(CallScope scope) {
    return !zones.isEmpty();
  }

  @Override
  public Eligibility check(UpstreamInstance upstream, CallScope scope, long now) {
    return !zones.isEmpty() && zones.contains(upstream.zone()) ? EVACUATED : Eligibility.ALLOWED;
  }
}
