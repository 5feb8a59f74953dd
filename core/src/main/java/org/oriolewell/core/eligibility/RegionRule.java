package org.oriolewell.core.eligibility;

import java.time.Duration;
import java.util.function.UnaryOperator;
import org.oriolewell.core.roster.UpstreamInstance;

/** Keeps calls in the regions that their route and workspace allow. */
public final class RegionRule implements EligibilityRule {
  private static final Eligibility OUTSIDE =
      new Eligibility.Blocked(Reason.OUTSIDE_REGIONS, Duration.ZERO);

  private final UnaryOperator<String> regionOfZone;

  private RegionRule(UnaryOperator<String> regionOfZone) {
    this.regionOfZone = regionOfZone;
  }

  /** Returns a rule that finds the region of an availability zone with a function. */
  public static RegionRule of(UnaryOperator<String> regionOfZone) {
    return new RegionRule(regionOfZone);
  }

  @Override
  public boolean active(CallScope scope) {
    return scope.allowedRegions().restricted();
  }

  @Override
  public Eligibility check(UpstreamInstance upstream, CallScope scope, long now) {
    return scope.allowedRegions().permits(regionOfZone.apply(upstream.zone()))
        ? Eligibility.ALLOWED
        : OUTSIDE;
  }
}
