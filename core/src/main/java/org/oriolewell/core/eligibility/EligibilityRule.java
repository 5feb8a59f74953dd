package org.oriolewell.core.eligibility;

import org.oriolewell.core.roster.UpstreamInstance;

/** A rule about the upstreams that calls may be sent to. */
@FunctionalInterface
public interface EligibilityRule {
  /**
   * Returns whether a call may be sent to an upstream as far as this rule is concerned.
   *
   * @param now monotonic time in nanoseconds
   */
  Eligibility check(UpstreamInstance upstream, CallScope scope, long now);

  /**
   * Returns whether the rule may restrict calls of a scope now. A rule that returns false isn't
   * asked about each upstream, which keeps the choice among hundreds of upstreams cheap.
   */
  default boolean active(CallScope scope) {
    return true;
  }
}
