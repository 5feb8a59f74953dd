package org.oriolewell.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.admission.Verdict.Reason;
import org.oriolewell.core.admission.Verdict.Refuse;
import org.oriolewell.core.admission.Verdict.Start;

class AdmissionTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long FAR_DEADLINE_NANOS = 3_600_000 * NANOS_PER_MILLI;

  private int nextCallNumber;

  private static Admission<Integer> admission(int limit, int maxQueued) {
    Admission<Integer> admission =
        Admission.create(new AdmissionSettings(maxQueued, 1.0), ConcurrencyLimit.fixed(limit));
    admission.shares(
        new Shares(Map.of("a", 0.5, "b", 0.5), Map.of("a1", 3.0, "a2", 1.0, "b1", 1.0)));
    return admission;
  }

  private OfferedCall<Integer> offeredCall(String workspace, int priority, long deadlineNanos) {
    return new OfferedCall<>(
        nextCallNumber++,
        workspace.substring(0, 1),
        workspace,
        priority,
        "operation",
        deadlineNanos);
  }

  private static List<Integer> started(List<Verdict<Integer>> verdicts) {
    return verdicts.stream().filter(v -> v instanceof Start).map(Verdict::call).toList();
  }

  /** Guards against a firm whose first calls wait behind the full queue of another firm. */
  @Test
  void firmWithoutRunningCallsGetsTheNextSlotsUntilItHasItsShare() {
    Admission<Integer> admission = admission(8, 512);
    for (int i = 0; i < 100; i++) {
      admission.offer(offeredCall("a1", 5, FAR_DEADLINE_NANOS), 0);
    }
    Set<Integer> callsOfSecondFirm = new HashSet<>();
    for (int i = 0; i < 10; i++) {
      OfferedCall<Integer> offered = offeredCall("b1", 0, FAR_DEADLINE_NANOS);
      callsOfSecondFirm.add(offered.call());
      assertThat(admission.offer(offered, NANOS_PER_MILLI)).isEmpty();
    }
    for (int i = 0; i < 4; i++) {
      assertThat(callsOfSecondFirm)
          .containsAll(started(admission.finished(i, Ending.ANSWERED, 2 * NANOS_PER_MILLI)));
    }
    assertThat(callsOfSecondFirm)
        .doesNotContainAnyElementsOf(
            started(admission.finished(4, Ending.ANSWERED, 3 * NANOS_PER_MILLI)));
  }

  /** Guards against service rates of two waiting workspaces that differ from their weights. */
  @Test
  void workspacesShareByWeight() {
    Admission<Integer> admission = admission(1, 512);
    Map<Integer, String> workspaceOfCall = new HashMap<>();
    for (int i = 0; i < 200; i++) {
      String workspace = i % 2 == 0 ? "a1" : "a2";
      OfferedCall<Integer> offered = offeredCall(workspace, 5, FAR_DEADLINE_NANOS);
      workspaceOfCall.put(offered.call(), workspace);
      admission.offer(offered, 0);
    }
    int startsOfHeavierWorkspace = 0;
    int runningCall = 0;
    for (int i = 0; i < 100; i++) {
      runningCall =
          started(admission.finished(runningCall, Ending.ANSWERED, i * NANOS_PER_MILLI)).get(0);
      startsOfHeavierWorkspace += "a1".equals(workspaceOfCall.get(runningCall)) ? 1 : 0;
    }
    assertThat(startsOfHeavierWorkspace).isBetween(73, 77);
  }

  /** Guards against an urgent call that waits behind less urgent ones of its workspace. */
  @Test
  void workspaceServesByPriorityThenDeadline() {
    Admission<Integer> admission = admission(1, 512);
    admission.offer(offeredCall("a1", 0, FAR_DEADLINE_NANOS), 0);
    admission.offer(offeredCall("a1", 1, FAR_DEADLINE_NANOS - 5), 0);
    admission.offer(offeredCall("a1", 1, FAR_DEADLINE_NANOS - 9), 0);
    admission.offer(offeredCall("a1", 7, FAR_DEADLINE_NANOS), 0);
    List<Integer> startOrder = new ArrayList<>();
    for (int call : new int[] {0, 3, 2}) {
      startOrder.addAll(started(admission.finished(call, Ending.ANSWERED, NANOS_PER_MILLI)));
    }
    assertThat(startOrder).containsExactly(3, 2, 1);
  }

  /**
   * Guards against calls that can't finish in time: they must be refused when offered, not after
   * waiting.
   */
  @Test
  void callThatCannotFinishIsRefusedAtOnce() {
    Admission<Integer> admission = admission(1, 512);
    admission.offer(offeredCall("a1", 5, FAR_DEADLINE_NANOS), 0);
    admission.finished(0, Ending.ANSWERED, 100 * NANOS_PER_MILLI);
    admission.offer(offeredCall("a1", 5, FAR_DEADLINE_NANOS), 100 * NANOS_PER_MILLI);
    assertThat(admission.offer(offeredCall("a1", 5, 250 * NANOS_PER_MILLI), 100 * NANOS_PER_MILLI))
        .singleElement()
        .isInstanceOfSatisfying(
            Refuse.class, r -> assertThat(r.reason()).isEqualTo(Reason.DEADLINE_UNREACHABLE));
    assertThat(admission.offer(offeredCall("a1", 5, 400 * NANOS_PER_MILLI), 100 * NANOS_PER_MILLI))
        .isEmpty();
    assertThat(admission.tick(350 * NANOS_PER_MILLI)).singleElement().isInstanceOf(Refuse.class);
  }

  /** Guards against a full queue that refuses the calls of a workspace that sends few. */
  @Test
  void fullQueueRefusesFromTheLongestQueue() {
    Admission<Integer> admission = admission(1, 10);
    for (int i = 0; i < 11; i++) {
      admission.offer(offeredCall("a1", 5, FAR_DEADLINE_NANOS), 0);
    }
    assertThat(admission.offer(offeredCall("a1", 5, FAR_DEADLINE_NANOS), 0))
        .containsExactly(new Refuse<>(11, Reason.OVERLOADED, expectedRetryAfterNanos(admission)));
    OfferedCall<Integer> callOfOtherWorkspace = offeredCall("b1", 0, FAR_DEADLINE_NANOS);
    assertThat(admission.offer(callOfOtherWorkspace, 0)).singleElement().isInstanceOf(Refuse.class);
    assertThat(started(admission.finished(0, Ending.ANSWERED, NANOS_PER_MILLI)))
        .containsExactly(callOfOtherWorkspace.call());
    assertThat(admission.load().queued()).isEqualTo(9);
  }

  private static long expectedRetryAfterNanos(Admission<Integer> admission) {
    return admission.load().queued() + 1L;
  }

  /**
   * Guards against a concurrency limit that stays above or below the upstream's saturation point.
   */
  @Test
  void gradientLimitFindsTheSaturationPoint() {
    GradientLimit limit = GradientLimit.create(2, 20, 400);
    for (int i = 0; i < 20_000; i++) {
      int inFlight = i < 500 ? 4 : limit.limit();
      limit.completed("operation", 10 * NANOS_PER_MILLI * Math.max(1, inFlight / 16), inFlight);
    }
    assertThat(limit.limit()).isBetween(14, 32);
  }

  /**
   * Guards against calls that are lost, started twice, left waiting at a free slot or queued
   * without bound, for any order of events.
   */
  @Property(tries = 200, seed = "13")
  void eachCallGetsOneVerdictAndNoSlotStaysFree(
      @ForAll @Size(max = 200) List<@IntRange(max = 5) Integer> events, @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Admission<Integer> admission = admission(3, 8);
    Set<Integer> waiting = new HashSet<>();
    Set<Integer> running = new HashSet<>();
    long now = 0;
    for (int event : events) {
      now += random.nextLong(10 * NANOS_PER_MILLI);
      List<Verdict<Integer>> verdicts = List.of();
      if (event <= 2) {
        String workspace = List.of("a1", "a2", "b1").get(event);
        OfferedCall<Integer> offered =
            offeredCall(
                workspace, random.nextInt(10), now + random.nextLong(200 * NANOS_PER_MILLI));
        waiting.add(offered.call());
        verdicts = admission.offer(offered, now);
      } else if (event == 3 && !running.isEmpty()) {
        int call = running.iterator().next();
        running.remove(call);
        verdicts = admission.finished(call, Ending.ANSWERED, now);
      } else if (event == 4 && !waiting.isEmpty()) {
        int call = waiting.iterator().next();
        waiting.remove(call);
        admission.canceled(call);
      } else {
        verdicts = admission.tick(now);
      }
      for (Verdict<Integer> verdict : verdicts) {
        assertThat(waiting.remove(verdict.call())).isTrue();
        if (verdict instanceof Start) {
          running.add(verdict.call());
        }
      }
      assertThat(admission.load().queued()).isEqualTo(waiting.size()).isLessThanOrEqualTo(8);
      assertThat(admission.load().inFlight()).isEqualTo(running.size()).isLessThanOrEqualTo(3);
      assertThat(waiting.isEmpty() || running.size() == 3).isTrue();
    }
  }
}
