package org.oriolewell.entry;

import java.util.List;

/**
 * The connected agents of a pool, by distance from this entry.
 *
 * @param zone agents in this availability zone
 * @param region agents in other zones of this region
 * @param elsewhere agents in other regions
 */
record PoolMembers(List<AgentLink> zone, List<AgentLink> region, List<AgentLink> elsewhere) {
  static final PoolMembers NONE = new PoolMembers(List.of(), List.of(), List.of());

  PoolMembers {
    zone = List.copyOf(zone);
    region = List.copyOf(region);
    elsewhere = List.copyOf(elsewhere);
  }

  /** Returns the groups, nearest first. */
  List<List<AgentLink>> groups() {
    return List.of(zone, region, elsewhere);
  }
}
