package org.oriolewell.gateway;

import java.util.Set;
import java.util.TreeSet;
import org.oriolewell.core.eligibility.EvacuatedZones;
import org.oriolewell.runtime.log.EventLog;

/**
 * Follows the operators' orders to evacuate availability zones, which it reads from the store. Used
 * on the event loop only.
 */
final class Evacuations implements ControlPlane.EvacuationListener {
  private final EvacuatedZones zones = EvacuatedZones.create();
  private final Regions regions;

  /** Zones whose orders were read and of which not all components have been told. */
  private final Set<String> newZones = new TreeSet<>();

  private final EventLog log;

  Evacuations(Regions regions, EventLog log) {
    this.regions = regions;
    this.log = log;
  }

  /** Returns the evacuated zones, which are a rule for all calls to upstreams. */
  EvacuatedZones zones() {
    return zones;
  }

  @Override
  public void onOrdered(String zone) {
    if (!zones.ordered(zone)) {
      return;
    }
    if (!regions.knows(zone)) {
      log.event(GatewayEvent.RULE_VALUE_INVALID)
          .with("zone", zone)
          .with("problem", "the evacuated zone is not in gateway.zones; the order is in force")
          .write();
    }
    newZones.add(zone);
    log.event(GatewayEvent.EVACUATION_ORDERED).with("zone", zone).write();
  }

  @Override
  public void onApplied() {
    newZones.stream()
        .filter(zones::contains)
        .forEach(zone -> log.event(GatewayEvent.EVACUATION_IN_FORCE).with("zone", zone).write());
    newZones.clear();
  }

  @Override
  public void onRemoved(String zone) {
    if (zones.removed(zone)) {
      logRemoved(zone, "its key was removed");
    }
  }

  @Override
  public void onReread(Set<String> listed, boolean settled) {
    for (String zone : zones.reread(listed, settled)) {
      if (settled) {
        logRemoved(zone, "its key is not in the store");
      } else {
        log.event(GatewayEvent.EVACUATION_KEPT).with("zone", zone).write();
      }
    }
  }

  @Override
  public void onSettled() {
    zones.settled().forEach(zone -> logRemoved(zone, "the settled history lacks its key"));
  }

  private void logRemoved(String zone, String reason) {
    log.event(GatewayEvent.EVACUATION_REMOVED).with("zone", zone).with("reason", reason).write();
  }
}
