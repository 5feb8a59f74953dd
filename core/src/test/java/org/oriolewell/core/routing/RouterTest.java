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
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  private static final RouteRequest SMALL_CALL = RouteRequest.call(1000);

  private final RouterSettings settings = RouterSettings.defaults();
  private final Router router = router("entry-1", 5);

  private Router router(String process, long seed) {
    return Router.create(
        "pool", settings, new Place("z1", "r1"), process, new SplittableRandom(seed));
  }

  private static Member member(String name, String incarnation, String zone, MemberState state) {
    return new Member(name, incarnation, zone, "r" + zone.charAt(1), state);
  }

  private static List<Member> upMembers(int count, String zone) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(member(zone + "-" + i, "a", zone, MemberState.UP));
    }
    return members;
  }

  private String chooseName(RouteRequest request, long now) {
    return Objects.requireNonNull(router.choose(request, now).chosen());
  }

  /** Sends calls that take 10 ms one after the other and counts them by upstream. */
  private Map<String, Integer> sendCalls(int calls, long start, Set<String> failing) {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < calls; i++) {
      long now = start + i * NANOS_PER_MILLI;
      String chosen = chooseName(SMALL_CALL, now);
      counts.merge(chosen, 1, Integer::sum);
      router.started(chosen);
      boolean fails = failing.contains(chosen);
      router.finished(
          chosen,
          fails ? CallResult.FAILED : CallResult.ANSWERED,
          fails ? NANOS_PER_MILLI : 10 * NANOS_PER_MILLI,
          now);
    }
    return counts;
  }

  /**
   * Guards against an upstream that fails fast, has few calls in flight and so attracts the
   * traffic.
   */
  @Test
  void fastFailingUpstreamGetsLittleTraffic() {
    router.update(upMembers(10, "z1"), 0);
    sendCalls(1000, 0, Set.of());
    int callsToFailing = sendCalls(2000, NANOS_PER_SECOND, Set.of("z1-3")).getOrDefault("z1-3", 0);
    assertThat(callsToFailing).isLessThan(2000 / 10 / 10);
  }

  /**
   * Guards against a burst of calls to an upstream that has returned, has no calls in flight and so
   * has the lowest cost.
   */
  @Test
  void returnedUpstreamIsNotFlooded() {
    List<Member> members = upMembers(10, "z1");
    router.update(members, 0);
    sendCalls(100, 0, Set.of());
    members.set(3, member("z1-3", "b", "z1", MemberState.UP));
    long now = 60 * NANOS_PER_SECOND;
    router.update(members, now);
    Map<String, Integer> inFlight = new HashMap<>();
    for (int i = 0; i < 200; i++) {
      String chosen = chooseName(SMALL_CALL, now);
      router.started(chosen);
      inFlight.merge(chosen, 1, Integer::sum);
    }
    assertThat(inFlight.getOrDefault("z1-3", 0)).isBetween(1, 5);
    assertThat(sendCalls(1000, now + 30 * NANOS_PER_SECOND, Set.of())).containsKey("z1-3");
  }

  /**
   * Guards against a slow start that leaves a pool whose upstreams all just started without any
   * usable one.
   */
  @Test
  void newPoolTakesLoadAtOnce() {
    router.update(upMembers(3, "z1"), 0);
    for (int i = 0; i < 300; i++) {
      router.started(chooseName(SMALL_CALL, 0));
    }
    for (int i = 0; i < 3; i++) {
      router.finished("z1-" + i, CallResult.CANCELED, 0, 0);
    }
    assertThat(router.choose(SMALL_CALL, 0).chosen()).isNotNull();
  }

  /** Guards against ejecting a whole pool when a dependency of all upstreams fails. */
  @Test
  void failureOfAllUpstreamsLeavesThemUsable() {
    router.update(upMembers(4, "z1"), 0);
    Map<String, Integer> callsByUpstream =
        sendCalls(400, 0, Set.of("z1-0", "z1-1", "z1-2", "z1-3"));
    assertThat(callsByUpstream).hasSize(4);
  }

  /** Guards against a straggler that keeps its equal share of the calls. */
  @Test
  void stragglerGetsLessThanHalfItsShare() {
    router.update(upMembers(8, "z1"), 0);
    int callsToStraggler = 0;
    for (int i = 0; i < 800; i++) {
      long now = i * 10 * NANOS_PER_MILLI;
      String chosen = chooseName(SMALL_CALL, now);
      boolean isStraggler = "z1-0".equals(chosen);
      callsToStraggler += isStraggler ? 1 : 0;
      router.started(chosen);
      router.finished(
          chosen,
          CallResult.ANSWERED,
          isStraggler ? 200 * NANOS_PER_MILLI : 10 * NANOS_PER_MILLI,
          now);
    }
    assertThat(callsToStraggler).isLessThan(50);
  }

  /** Guards against calls to another region while the own region can serve them. */
  @Test
  void otherRegionIsUsedOnlyAsLastResortAndWithinTheLinkBudget() {
    List<Member> members = upMembers(4, "z1");
    members.addAll(upMembers(4, "z2"));
    router.update(members, 0);
    assertThat(router.subset()).allMatch(name -> name.startsWith("z1"));
    router.update(upMembers(4, "z2"), 0);
    RouteRequest largeCall = RouteRequest.call(200_000);
    assertThat(router.choose(largeCall, 0).reason()).isEqualTo(Reason.OTHER_REGION);
    assertThat(router.choose(largeCall, 0).reason()).isEqualTo(Reason.LINK_BUDGET);
    assertThat(router.choose(largeCall, 10 * NANOS_PER_SECOND).reason())
        .isEqualTo(Reason.OTHER_REGION);
  }

  /** Guards against a retry at the upstream that already failed the call. */
  @Test
  void excludedUpstreamIsNotChosen() {
    router.update(upMembers(2, "z1"), 0);
    assertThat(router.choose(SMALL_CALL.excluding(List.of("z1-0")), 0).chosen()).isEqualTo("z1-1");
    Choice withoutCandidates = router.choose(SMALL_CALL.excluding(List.of("z1-0", "z1-1")), 0);
    assertThat(withoutCandidates.chosen()).isNull();
    assertThat(withoutCandidates.reason()).isEqualTo(Reason.NO_UPSTREAM);
  }

  /**
   * Guards against a frequent prefix that overloads one engine, and against moving a prefix without
   * load.
   */
  @Test
  void prefixStaysOnOneUpstreamUntilItIsFull() {
    router.update(upMembers(8, "z1"), 0);
    RouteRequest request = RouteRequest.generation(PromptPrefix.hash("the same prompt"), 1000);
    Set<String> chosenWithoutLoad = new HashSet<>();
    for (int i = 0; i < 50; i++) {
      chosenWithoutLoad.add(chooseName(request, 0));
    }
    assertThat(chosenWithoutLoad).hasSize(1);
    Map<String, Integer> inFlight = new HashMap<>();
    for (int i = 0; i < 80; i++) {
      String chosen = chooseName(request, 0);
      router.started(chosen);
      inFlight.merge(chosen, 1, Integer::sum);
    }
    assertThat(inFlight.values()).allMatch(n -> n <= 14);
  }

  /**
   * Guards against stale cache events: an event changes the choice, a gap in the sequence revokes
   * it.
   */
  @Test
  void cacheEventsChangeTheChoiceAndGapsRevokeThem() {
    router.update(upMembers(8, "z1"), 0);
    long prefix = PromptPrefix.hash("prompt");
    RouteRequest request = RouteRequest.generation(prefix, 1000);
    String preferredByHash = chooseName(request, 0);
    String holder = "z1-0".equals(preferredByHash) ? "z1-1" : "z1-0";
    router.cacheEvent(new CacheEvent(holder, 1, prefix, true), 0);
    assertThat(router.choose(request, 0))
        .extracting(Choice::chosen, Choice::reason)
        .containsExactly(holder, Reason.CACHE);
    router.cacheEvent(new CacheEvent(holder, 5, 99, true), 0);
    assertThat(router.choose(request, 0).chosen()).isEqualTo(preferredByHash);
  }

  /**
   * Guards against subsets that grow with the fleet or contain the same upstreams in most
   * processes.
   */
  @Test
  void subsetsAreBoundedAndSpread() {
    List<Member> members = upMembers(740, "z1");
    Map<String, Integer> subsetsByUpstream = new HashMap<>();
    for (int entry = 0; entry < 370; entry++) {
      Router entryRouter = router("entry-" + entry, 1);
      entryRouter.update(members, 0);
      assertThat(entryRouter.subset()).hasSize(settings.subsetSize());
      entryRouter.subset().forEach(name -> subsetsByUpstream.merge(name, 1, Integer::sum));
    }
    assertThat(subsetsByUpstream).hasSizeGreaterThan(730);
    assertThat(subsetsByUpstream.values()).allMatch(n -> n <= 25);
  }

  /**
   * Guards against the choice of an excluded or unusable upstream, for any states and exclusions.
   */
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
    RouteRequest request =
        (generation ? RouteRequest.generation(9, 10) : SMALL_CALL).excluding(tried);
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
