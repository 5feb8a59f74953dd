package org.oriolewell.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.membership.Member;
import org.oriolewell.core.membership.MemberState;
import org.oriolewell.core.routing.Choice.Reason;

class RouterTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final RouteRequest CALL = RouteRequest.call(1000);

  private final RouterSettings settings = RouterSettings.defaults();
  private final Router router = router("entry-1", 5);

  private Router router(String process, long seed) {
    return Router.create(
        "pool", settings, new Place("z1", "r1"), process, new SplittableRandom(seed));
  }

  private static Member member(String name, String incarnation, String zone, MemberState state) {
    return new Member(name, incarnation, zone, "r" + zone.charAt(1), state);
  }

  private static List<Member> up(int count, String zone) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(member(zone + "-" + i, "a", zone, MemberState.UP));
    }
    return members;
  }

  private String pick(RouteRequest request, long now) {
    return Objects.requireNonNull(router.choose(request, now).chosen());
  }

  /** Sends calls of 10 ms one after the other and counts them by upstream. */
  private Map<String, Integer> send(int calls, long start, Set<String> failing) {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < calls; i++) {
      long now = start + i * MS;
      String chosen = pick(CALL, now);
      counts.merge(chosen, 1, Integer::sum);
      router.started(chosen);
      boolean fails = failing.contains(chosen);
      router.finished(
          chosen, fails ? CallResult.FAILED : CallResult.ANSWERED, fails ? MS : 10 * MS, now);
    }
    return counts;
  }

  /** Guards against a fast-failing upstream that looks idle and attracts the traffic. */
  @Test
  void fastFailingUpstreamGetsLittleTraffic() {
    router.update(up(10, "z1"), 0);
    send(1000, 0, Set.of());
    int wrong = send(2000, SECOND, Set.of("z1-3")).getOrDefault("z1-3", 0);
    assertThat(wrong).isLessThan(2000 / 10 / 10);
  }

  /** Guards against a herd on a returned upstream, which has no calls in flight and looks best. */
  @Test
  void returnedUpstreamIsNotFlooded() {
    List<Member> members = up(10, "z1");
    router.update(members, 0);
    send(100, 0, Set.of());
    members.set(3, member("z1-3", "b", "z1", MemberState.UP));
    long now = 60 * SECOND;
    router.update(members, now);
    Map<String, Integer> inFlight = new HashMap<>();
    for (int i = 0; i < 200; i++) {
      String chosen = pick(CALL, now);
      router.started(chosen);
      inFlight.merge(chosen, 1, Integer::sum);
    }
    assertThat(inFlight.getOrDefault("z1-3", 0)).isBetween(1, 5);
    assertThat(send(1000, now + 30 * SECOND, Set.of())).containsKey("z1-3");
  }

  /** Guards against a slow start that leaves a freshly started pool without any usable upstream. */
  @Test
  void freshPoolTakesLoadAtOnce() {
    router.update(up(3, "z1"), 0);
    for (int i = 0; i < 300; i++) {
      router.started(pick(CALL, 0));
    }
    for (int i = 0; i < 3; i++) {
      router.finished("z1-" + i, CallResult.CANCELED, 0, 0);
    }
    assertThat(router.choose(CALL, 0).chosen()).isNotNull();
  }

  /** Guards against ejecting a whole pool when something behind all upstreams fails. */
  @Test
  void failureOfAllUpstreamsLeavesThemUsable() {
    router.update(up(4, "z1"), 0);
    Map<String, Integer> counts = send(400, 0, Set.of("z1-0", "z1-1", "z1-2", "z1-3"));
    assertThat(counts).hasSize(4);
  }

  /** Guards against a straggler that keeps its equal share of the calls. */
  @Test
  void stragglerGetsLessThanHalfItsShare() {
    router.update(up(8, "z1"), 0);
    int toStraggler = 0;
    for (int i = 0; i < 800; i++) {
      long now = i * 10 * MS;
      String chosen = pick(CALL, now);
      boolean slow = "z1-0".equals(chosen);
      toStraggler += slow ? 1 : 0;
      router.started(chosen);
      router.finished(chosen, CallResult.ANSWERED, slow ? 200 * MS : 10 * MS, now);
    }
    assertThat(toStraggler).isLessThan(50);
  }

  /** Guards against bytes between regions while the own region can serve. */
  @Test
  void otherRegionIsUsedOnlyAsLastResortAndWithinTheLinkBudget() {
    List<Member> members = up(4, "z1");
    members.addAll(up(4, "z2"));
    router.update(members, 0);
    assertThat(router.subset()).allMatch(name -> name.startsWith("z1"));
    router.update(up(4, "z2"), 0);
    RouteRequest big = RouteRequest.call(200_000);
    assertThat(router.choose(big, 0).reason()).isEqualTo(Reason.OTHER_REGION);
    assertThat(router.choose(big, 0).reason()).isEqualTo(Reason.LINK_BUDGET);
    assertThat(router.choose(big, 10 * SECOND).reason()).isEqualTo(Reason.OTHER_REGION);
  }

  /** Guards against a retry at the upstream that already failed the call. */
  @Test
  void excludedUpstreamIsNotChosen() {
    router.update(up(2, "z1"), 0);
    assertThat(router.choose(CALL.excluding(List.of("z1-0")), 0).chosen()).isEqualTo("z1-1");
    Choice none = router.choose(CALL.excluding(List.of("z1-0", "z1-1")), 0);
    assertThat(none.chosen()).isNull();
    assertThat(none.reason()).isEqualTo(Reason.NO_UPSTREAM);
  }

  /**
   * Guards against a hot prefix that overloads one engine, and against losing its cache at rest.
   */
  @Test
  void prefixStaysOnOneUpstreamUntilItIsFull() {
    router.update(up(8, "z1"), 0);
    RouteRequest request = RouteRequest.generation(PromptPrefix.hash("the same prompt"), 1000);
    Set<String> atRest = new HashSet<>();
    for (int i = 0; i < 50; i++) {
      atRest.add(pick(request, 0));
    }
    assertThat(atRest).hasSize(1);
    Map<String, Integer> inFlight = new HashMap<>();
    for (int i = 0; i < 80; i++) {
      String chosen = pick(request, 0);
      router.started(chosen);
      inFlight.merge(chosen, 1, Integer::sum);
    }
    assertThat(inFlight.values()).allMatch(n -> n <= 14);
  }

  /** Guards against trust in cache events: one corrects the choice, a gap withdraws it. */
  @Test
  void cacheEventsCorrectTheChoiceAndGapsWithdrawThem() {
    router.update(up(8, "z1"), 0);
    long prefix = PromptPrefix.hash("prompt");
    RouteRequest request = RouteRequest.generation(prefix, 1000);
    String hashed = pick(request, 0);
    String other = "z1-0".equals(hashed) ? "z1-1" : "z1-0";
    router.cacheEvent(new CacheEvent(other, 1, prefix, true), 0);
    assertThat(router.choose(request, 0))
        .extracting(Choice::chosen, Choice::reason)
        .containsExactly(other, Reason.CACHE);
    router.cacheEvent(new CacheEvent(other, 5, 99, true), 0);
    assertThat(router.choose(request, 0).chosen()).isEqualTo(hashed);
  }

  /** Guards against subsets that grow with the fleet or pile up on the same upstreams. */
  @Test
  void subsetsAreBoundedAndSpread() {
    List<Member> members = up(740, "z1");
    Map<String, Integer> uses = new HashMap<>();
    for (int entry = 0; entry < 370; entry++) {
      Router each = router("entry-" + entry, 1);
      each.update(members, 0);
      assertThat(each.subset()).hasSize(settings.subsetSize());
      each.subset().forEach(name -> uses.merge(name, 1, Integer::sum));
    }
    assertThat(uses).hasSizeGreaterThan(730);
    assertThat(uses.values()).allMatch(n -> n <= 25);
  }

  /** Guards against choosing what may not be chosen, for any states and exclusions. */
  @Property(tries = 500, seed = "11")
  void chosenUpstreamIsUsableAndNotExcluded(
      @ForAll @IntRange(min = 0, max = 1 << 16) int states,
      @ForAll @IntRange(max = 255) int excluded,
      @ForAll boolean generation) {
    List<Member> members = new ArrayList<>();
    List<String> tried = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      MemberState state = MemberState.values()[(states >> (2 * i)) & 3];
      String zone = i < 5 ? "z1" : "y1";
      members.add(member("h" + i, "a", zone, state));
      if ((excluded >> i & 1) == 1) {
        tried.add("h" + i);
      }
    }
    Router tested = router("entry", states);
    tested.update(members, 0);
    RouteRequest request = (generation ? RouteRequest.generation(9, 10) : CALL).excluding(tried);
    Choice choice = tested.choose(request, 0);
    boolean anyUp =
        members.stream().anyMatch(m -> m.state() == MemberState.UP && !tried.contains(m.name()));
    assertThat(choice.chosen() != null || !anyUp).isTrue();
    assertThat(choice.candidates()).hasSizeLessThanOrEqualTo(4);
    for (Member member : members) {
      if (member.name().equals(choice.chosen())) {
        assertThat(member.state()).isIn(MemberState.UP, MemberState.SUSPECT);
        assertThat(tried).doesNotContain(member.name());
      }
    }
  }
}
