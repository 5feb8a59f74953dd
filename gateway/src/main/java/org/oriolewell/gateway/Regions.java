package org.oriolewell.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** The regions of the availability zones. */
final class Regions {
  private final Map<String, String> byZone;

  private Regions(Map<String, String> byZone) {
    this.byZone = Map.copyOf(byZone);
  }

  /**
   * Returns the regions.
   *
   * @param entries zones with their regions, as {@code ZONE=REGION}
   * @throws IllegalArgumentException if an entry has another form
   */
  static Regions parse(List<String> entries) {
    Map<String, String> byZone = new HashMap<>();
    for (String entry : entries) {
      int equals = entry.indexOf('=');
      if (equals < 1) {
        throw new IllegalArgumentException(
            "gateway.zones has the entry '" + entry + "'; write ZONE=REGION");
      }
      byZone.put(entry.substring(0, equals), entry.substring(equals + 1));
    }
    return new Regions(byZone);
  }

  /** Returns the region of a zone; an unknown zone is a region of its own. */
  String of(String zone) {
    return byZone.getOrDefault(zone, zone);
  }

  /** Returns all regions. */
  Collection<String> all() {
    return new LinkedHashSet<>(byZone.values());
  }
}
