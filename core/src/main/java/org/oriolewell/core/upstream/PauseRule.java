package org.oriolewell.core.upstream;

import java.time.Duration;
import org.oriolewell.core.eligibility.CallScope;
import org.oriolewell.core.eligibility.Eligibility;
import org.oriolewell.core.eligibility.EligibilityRule;
import org.oriolewell.core.eligibility.Reason;
import org.oriolewell.core.roster.UpstreamInstance;

/**
 * Blocks upstreams that have asked for a pause, until its end and this gateway's turn after it.
 *
 * @param records what the upstreams have stated
 */
public record PauseRule(UpstreamRecords records) implements EligibilityRule {
  @Override
  public boolean active(CallScope scope) {
    return !records.unrestricted();
  }

  @Override
  public Eligibility check(UpstreamInstance upstream, CallScope scope, long now) {
    Duration blockedFor = records.blockedFor(upstream, now);
    return blockedFor.isZero()
        ? Eligibility.ALLOWED
        : new Eligibility.Blocked(Reason.PAUSED, blockedFor);
  }
}
