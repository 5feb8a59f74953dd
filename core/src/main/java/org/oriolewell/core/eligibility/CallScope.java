package org.oriolewell.core.eligibility;

import java.util.Set;
import org.oriolewell.core.route.AllowedRegions;

/**
 * What the configuration allows a call to use.
 *
 * @param allowedRegions regions in which the call may be served
 * @param rank urgency of the call; the lowest rank is the most urgent
 */
public record CallScope(AllowedRegions allowedRegions, int rank) {
  /** Creates a scope from the names of the allowed regions; an empty set allows all regions. */
  public CallScope(Set<String> allowedRegions, int rank) {
    this(AllowedRegions.of(allowedRegions), rank);
  }
}
