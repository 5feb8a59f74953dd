package org.oriolewell.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** Maps availability zones to their regions. */
final class Regions {
  private final Map<String, String> regionByZone;

  private Regions(Map<String, String> regionByZone) {
    this.regionByZone = Map.copyOf(regionByZone);
  }

  /**
   * Parses the regions of all availability zones.
   *
   * @param entries entries of the form {@code ZONE=REGION}
   * @throws IllegalArgumentException if an entry has no zone or no equals sign
   */
  static Regions parse(List<String> entries) {
    Map<String, String> regionByZone = new HashMap<>();
    for (String entry : entries) {
      int equalsIndex = entry.indexOf('=');
      if (equalsIndex < 1) {
        throw new IllegalArgumentException(
            "gateway.zones has the entry '" + entry + "'; write ZONE=REGION");
      }
      regionByZone.put(entry.substring(0, equalsIndex), entry.substring(equalsIndex + 1));
    }
    return new Regions(regionByZone);
  }

  /** Returns the region of an availability zone; the name of the zone itself if it is unknown. */
  String regionOf(String zone) {
    return regionByZone.getOrDefault(zone, zone);
  }

  /** Returns whether an availability zone is among those of the settings. */
  boolean knows(String zone) {
    return regionByZone.containsKey(zone);
  }

  /** Returns the names of all regions, each once. */
  Collection<String> all() {
    return new LinkedHashSet<>(regionByZone.values());
  }
}
