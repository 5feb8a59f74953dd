package org.oriolewell.core.eligibility;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.roster.Ipv4SocketAddress;
import org.oriolewell.core.roster.UpstreamInstance;

/** Guards against a call to an upstream that one of several rules blocks. */
class EligibilityCheckTest {
  private static final CallScope ANYWHERE = new CallScope(Set.of(), 0);
  private static final UpstreamInstance UPSTREAM = upstream("i1", "z1");
  private static final EligibilityRule BLOCKED = blocked(Reason.LEAVING, 0);

  private static UpstreamInstance upstream(String id, String zone) {
    return new UpstreamInstance(
        id, 1, "service", Ipv4SocketAddress.parse("127.0.0.1:9"), zone, 4, false);
  }

  private static EligibilityRule blocked(Reason reason, long millis) {
    return (upstream, scope, now) -> new Eligibility.Blocked(reason, Duration.ofMillis(millis));
  }

  private static EligibilityRule limited(double perSecond) {
    return (upstream, scope, now) -> new Eligibility.PermitNeeded(perSecond);
  }

  private static Eligibility verdict(EligibilityRule... rules) {
    return EligibilityCheck.of(List.of(rules)).check(UPSTREAM, ANYWHERE, 0);
  }

  @Test
  void strictestVerdictCounts() {
    assertThat(verdict()).isEqualTo(Eligibility.ALLOWED);
    assertThat(verdict(limited(5), limited(2), limited(9)))
        .isEqualTo(new Eligibility.PermitNeeded(2));
    assertThat(verdict(limited(1), BLOCKED, limited(1))).isInstanceOf(Eligibility.Blocked.class);
    assertThat(verdict(blocked(Reason.PAUSED, 5), blocked(Reason.LIMITED, 9)))
        .isEqualTo(new Eligibility.Blocked(Reason.LIMITED, Duration.ofMillis(9)));
    assertThat(verdict(blocked(Reason.PAUSED, 5), BLOCKED))
        .isEqualTo(new Eligibility.Blocked(Reason.LEAVING, Duration.ZERO));
  }

  @Test
  void permitDoesNotOverrideOtherRules() {
    EligibilityCheck limitedOnly = EligibilityCheck.of(List.of(limited(1)));
    EligibilityCheck denied = EligibilityCheck.of(List.of(blocked(Reason.LIMITED, 9)));
    EligibilityCheck both = EligibilityCheck.of(List.of(limited(1), BLOCKED));

    assertThat(limitedOnly.clear(UPSTREAM, ANYWHERE, false, 0)).isEmpty();
    assertThat(limitedOnly.clear(UPSTREAM, ANYWHERE, true, 0)).isPresent();
    assertThat(denied.clear(UPSTREAM, ANYWHERE, true, 0)).isPresent();
    assertThat(both.clear(UPSTREAM, ANYWHERE, true, 0)).isEmpty();
  }

  /** Guards against an upstream outside the allowed regions, in any topology. */
  @Property(tries = 200)
  void onlyAllowedRegionsAreReached(
      @ForAll @Size(max = 40) List<@IntRange(max = 9) Integer> zones,
      @ForAll @Size(max = 4) Set<@IntRange(max = 4) Integer> allowed) {
    // Zone n belongs to region n modulo 5.
    EligibilityCheck check =
        EligibilityCheck.of(
            List.of(RegionRule.of(zone -> String.valueOf(Integer.parseInt(zone) % 5))));
    CallScope scope = new CallScope(Set.copyOf(allowed.stream().map(String::valueOf).toList()), 0);
    List<UpstreamInstance> upstreams =
        zones.stream().map(zone -> upstream("i" + zone, zone.toString())).toList();
    Screening screening = check.screen(upstreams, scope, 0);

    assertThat(screening.unblocked())
        .isEqualTo(
            upstreams.stream()
                .filter(
                    upstream ->
                        allowed.isEmpty()
                            || allowed.contains(Integer.parseInt(upstream.zone()) % 5))
                .toList());
    assertThat(check.reachable(upstreams, scope, 0)).isEqualTo(screening.unblocked());
    assertThat(screening.shortestBlock()).isEmpty();
    for (UpstreamInstance upstream : upstreams) {
      assertThat(check.clear(upstream, scope, true, 0).isPresent())
          .isEqualTo(screening.unblocked().contains(upstream));
    }
  }
}
