package org.oriolewell.core.eligibility;

import java.time.Duration;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oriolewell.core.roster.UpstreamInstance;

/**
 * The upstreams of a service, by the verdicts on a call.
 *
 * @param unblocked upstreams that the call may be sent to, with a permit where one is needed
 * @param allowed those of them that need no permit
 * @param blocks verdicts on the other upstreams
 */
public record Screening(
    List<UpstreamInstance> unblocked,
    List<UpstreamInstance> allowed,
    List<Eligibility.Blocked> blocks) {

  /** Returns the reasons for which upstreams are blocked. */
  public Set<Reason> reasons() {
    Set<Reason> reasons = EnumSet.noneOf(Reason.class);
    blocks.forEach(block -> reasons.add(block.reason()));
    return reasons;
  }

  /** Returns the shortest known time until a blocked upstream may be used; empty if none is. */
  public Optional<Duration> shortestBlock() {
    return blocks.stream()
        .map(Eligibility.Blocked::retryAfter)
        .filter(time -> !time.isZero())
        .min(Comparator.naturalOrder());
  }
}
