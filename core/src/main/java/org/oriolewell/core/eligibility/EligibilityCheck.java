package org.oriolewell.core.eligibility;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oriolewell.core.roster.UpstreamInstance;

/**
 * Decides which upstreams a call may be sent to: the strictest verdict of all rules counts. Every
 * call to an upstream passes this check right before it is sent.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class EligibilityCheck {
  private final List<EligibilityRule> rules;

  private EligibilityCheck(List<EligibilityRule> rules) {
    this.rules = List.copyOf(rules);
  }

  /** Returns a check of the given rules. */
  public static EligibilityCheck of(List<EligibilityRule> rules) {
    return new EligibilityCheck(rules);
  }

  /** Returns the strictest verdict of all rules on a call to an upstream. */
  public Eligibility check(UpstreamInstance upstream, CallScope scope, long now) {
    return strictest(rules, upstream, scope, now);
  }

  private static Eligibility strictest(
      List<EligibilityRule> activeRules, UpstreamInstance upstream, CallScope scope, long now) {
    Eligibility strictest = Eligibility.ALLOWED;
    for (EligibilityRule rule : activeRules) {
      strictest = strictest.stricter(rule.check(upstream, scope, now));
    }
    return strictest;
  }

  /**
   * Sorts upstreams by the verdicts on a call.
   *
   * @param upstreams usable upstreams of a service
   */
  public Screening screen(List<UpstreamInstance> upstreams, CallScope scope, long now) {
    List<EligibilityRule> activeRules = activeRules(scope);
    if (activeRules.isEmpty()) {
      return new Screening(upstreams, upstreams, List.of());
    }
    List<UpstreamInstance> unblocked = new ArrayList<>();
    List<UpstreamInstance> allowed = new ArrayList<>();
    List<Eligibility.Blocked> blocks = new ArrayList<>();
    for (UpstreamInstance upstream : upstreams) {
      Eligibility verdict = strictest(activeRules, upstream, scope, now);
      if (verdict instanceof Eligibility.Blocked blocked) {
        blocks.add(blocked);
      } else {
        unblocked.add(upstream);
        if (verdict instanceof Eligibility.Allowed) {
          allowed.add(upstream);
        }
      }
    }
    return new Screening(unblocked, allowed, blocks);
  }

  /** Returns the upstreams that are not blocked for an unknown time. */
  public List<UpstreamInstance> reachable(
      List<UpstreamInstance> upstreams, CallScope scope, long now) {
    List<EligibilityRule> activeRules = activeRules(scope);
    return activeRules.isEmpty()
        ? upstreams
        : upstreams.stream()
            .filter(
                upstream ->
                    !(strictest(activeRules, upstream, scope, now)
                            instanceof Eligibility.Blocked blocked)
                        || !blocked.retryAfter().isZero())
            .toList();
  }

  private List<EligibilityRule> activeRules(CallScope scope) {
    List<EligibilityRule> activeRules = new ArrayList<>(rules.size());
    for (EligibilityRule rule : rules) {
      if (rule.active(scope)) {
        activeRules.add(rule);
      }
    }
    return activeRules;
  }

  /**
   * Clears an upstream for one call that is sent now.
   *
   * @param permitHeld whether the call holds a permit for the upstream
   * @return empty if a rule blocks the call, or if it needs a permit and holds none
   */
  public Optional<EligibleUpstream> clear(
      UpstreamInstance upstream, CallScope scope, boolean permitHeld, long now) {
    for (EligibilityRule rule : rules) {
      Eligibility verdict = rule.check(upstream, scope, now);
      boolean passes =
          verdict instanceof Eligibility.Allowed
              || (permitHeld
                  && (!(verdict instanceof Eligibility.Blocked blocked)
                      || blocked.reason().permitMissing()));
      if (!passes) {
        return Optional.empty();
      }
    }
    return Optional.of(new EligibleUpstream(upstream));
  }
}
