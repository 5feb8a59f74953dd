package org.oriolewell.core.route;

import java.util.Set;
import java.util.stream.Collectors;

/**
 * Regions in which requests may be served, cached and stored.
 *
 * @param restricted whether only the named regions are allowed; otherwise all are
 * @param names names of the allowed regions; may be empty, which allows none if restricted
 */
public record AllowedRegions(boolean restricted, Set<String> names) {
  /** Allows all regions. */
  public static final AllowedRegions ALL = new AllowedRegions(false, Set.of());

  /** Copies the set of names. */
  public AllowedRegions {
    names = Set.copyOf(names);
  }

  /** Returns a restriction to the named regions; an empty set allows all regions. */
  public static AllowedRegions of(Set<String> names) {
    return names.isEmpty() ? ALL : new AllowedRegions(true, names);
  }

  /** Returns whether a region is allowed. */
  public boolean permits(String region) {
    return !restricted || names.contains(region);
  }

  /** Returns the regions that both this restriction and another one allow; may be none. */
  public AllowedRegions and(AllowedRegions other) {
    if (!restricted || !other.restricted) {
      return restricted ? this : other;
    }
    return new AllowedRegions(
        true, names.stream().filter(other.names::contains).collect(Collectors.toSet()));
  }
}
