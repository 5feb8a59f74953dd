package org.oriolewell.core.upstream;

import java.time.Duration;
import org.oriolewell.core.eligibility.CallScope;
import org.oriolewell.core.eligibility.Eligibility;
import org.oriolewell.core.eligibility.EligibilityRule;
import org.oriolewell.core.eligibility.Reason;
import org.oriolewell.core.roster.UpstreamInstance;

/**
 * Blocks upstreams that have stated that they leave.
 *
 * @param records what the upstreams have stated
 */
public record LeavingRule(UpstreamRecords records) implements EligibilityRule {
  private static final Eligibility LEAVING = new Eligibility.Blocked(Reason.LEAVING, Duration.ZERO);

  @Override
  public boolean active(CallScope scope) {
    return !records.unrestricted();
  }

  @Override
  public Eligibility check(UpstreamInstance upstream, CallScope scope, long now) {
    return records.leaving(upstream) ? LEAVING : Eligibility.ALLOWED;
  }
}
