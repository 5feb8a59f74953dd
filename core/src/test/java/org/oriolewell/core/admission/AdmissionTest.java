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
  private static final long MS = 1_000_000L;
  private static final long FAR = 3_600_000 * MS;

  private int nextCall;

  private static Admission<Integer> admission(int limit, int maxQueued) {
    Admission<Integer> created =
        Admission.create(new AdmissionSettings(maxQueued, 1.0), ConcurrencyLimit.fixed(limit));
    created.shares(new Shares(Map.of("a", 0.5, "b", 0.5), Map.of("a1", 3.0, "a2", 1.0, "b1", 1.0)));
    return created;
  }

  private OfferedCall<Integer> work(String workspace, int priority, long deadline) {
    return new OfferedCall<>(
        nextCall++, workspace.substring(0, 1), workspace, priority, "operation", deadline);
  }

  private static List<Integer> started(List<Verdict<Integer>> verdicts) {
    return verdicts.stream().filter(v -> v instanceof Start).map(Verdict::call).toList();
  }

  /** Guards against a firm that wakes and waits behind the queue of the busy one. */
  @Test
  void wakingFirmGetsTheNextPlacesUntilItHasItsShare() {
    Admission<Integer> admission = admission(8, 512);
    for (int i = 0; i < 100; i++) {
      admission.offer(work("a1", 5, FAR), 0);
    }
    Set<Integer> woken = new HashSet<>();
    for (int i = 0; i < 10; i++) {
      OfferedCall<Integer> work = work("b1", 0, FAR);
      woken.add(work.call());
      assertThat(admission.offer(work, MS)).isEmpty();
    }
    for (int i = 0; i < 4; i++) {
      assertThat(woken).containsAll(started(admission.finished(i, Ending.ANSWERED, 2 * MS)));
    }
    assertThat(woken)
        .doesNotContainAnyElementsOf(started(admission.finished(4, Ending.ANSWERED, 3 * MS)));
  }

  /** Guards against shares that differ from the configured weights while both wait. */
  @Test
  void workspacesShareByWeight() {
    Admission<Integer> admission = admission(1, 512);
    Map<Integer, String> owners = new HashMap<>();
    for (int i = 0; i < 200; i++) {
      String workspace = i % 2 == 0 ? "a1" : "a2";
      OfferedCall<Integer> work = work(workspace, 5, FAR);
      owners.put(work.call(), workspace);
      admission.offer(work, 0);
    }
    int heavy = 0;
    int running = 0;
    for (int i = 0; i < 100; i++) {
      running = started(admission.finished(running, Ending.ANSWERED, i * MS)).get(0);
      heavy += "a1".equals(owners.get(running)) ? 1 : 0;
    }
    assertThat(heavy).isBetween(73, 77);
  }

  /** Guards against an urgent call that waits behind unimportant ones of its workspace. */
  @Test
  void workspaceServesByPriorityThenDeadline() {
    Admission<Integer> admission = admission(1, 512);
    admission.offer(work("a1", 0, FAR), 0);
    admission.offer(work("a1", 1, FAR - 5), 0);
    admission.offer(work("a1", 1, FAR - 9), 0);
    admission.offer(work("a1", 7, FAR), 0);
    List<Integer> order = new ArrayList<>();
    for (int call : new int[] {0, 3, 2}) {
      order.addAll(started(admission.finished(call, Ending.ANSWERED, MS)));
    }
    assertThat(order).containsExactly(3, 2, 1);
  }

  /** Guards against work that can't finish: it must be refused when offered, not after waiting. */
  @Test
  void callThatCannotFinishIsRefusedAtOnce() {
    Admission<Integer> admission = admission(1, 512);
    admission.offer(work("a1", 5, FAR), 0);
    admission.finished(0, Ending.ANSWERED, 100 * MS);
    admission.offer(work("a1", 5, FAR), 100 * MS);
    assertThat(admission.offer(work("a1", 5, 250 * MS), 100 * MS))
        .singleElement()
        .isInstanceOfSatisfying(
            Refuse.class, r -> assertThat(r.reason()).isEqualTo(Reason.DEADLINE_UNREACHABLE));
    assertThat(admission.offer(work("a1", 5, 400 * MS), 100 * MS)).isEmpty();
    assertThat(admission.tick(350 * MS)).singleElement().isInstanceOf(Refuse.class);
  }

  /** Guards against a full queue that shuts out a workspace that sends little. */
  @Test
  void fullQueueDropsFromTheLongestQueue() {
    Admission<Integer> admission = admission(1, 10);
    for (int i = 0; i < 11; i++) {
      admission.offer(work("a1", 5, FAR), 0);
    }
    assertThat(admission.offer(work("a1", 5, FAR), 0))
        .containsExactly(new Refuse<>(11, Reason.OVERLOADED, retryAfter(admission)));
    OfferedCall<Integer> small = work("b1", 0, FAR);
    assertThat(admission.offer(small, 0)).singleElement().isInstanceOf(Refuse.class);
    assertThat(started(admission.finished(0, Ending.ANSWERED, MS))).containsExactly(small.call());
    assertThat(admission.load().queued()).isEqualTo(9);
  }

  private static long retryAfter(Admission<Integer> admission) {
    return admission.load().queued() + 1L;
  }

  /** Guards against a limit that stays past the knee of the upstream, or below it. */
  @Test
  void gradientLimitFindsTheKnee() {
    GradientLimit limit = GradientLimit.create(2, 20, 400);
    for (int i = 0; i < 20_000; i++) {
      int inFlight = i < 500 ? 4 : limit.limit();
      limit.completed("operation", 10 * MS * Math.max(1, inFlight / 16), inFlight);
    }
    assertThat(limit.limit()).isBetween(14, 32);
  }

  /** Guards against lost, doubled, idle or unbounded work for any order of events. */
  @Property(tries = 200, seed = "13")
  void eachCallGetsOneVerdictAndNoPlaceStaysFree(
      @ForAll @Size(max = 200) List<@IntRange(max = 5) Integer> events, @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Admission<Integer> admission = admission(3, 8);
    Set<Integer> waiting = new HashSet<>();
    Set<Integer> running = new HashSet<>();
    long now = 0;
    for (int event : events) {
      now += random.nextLong(10 * MS);
      List<Verdict<Integer>> verdicts = List.of();
      if (event <= 2) {
        String workspace = List.of("a1", "a2", "b1").get(event);
        OfferedCall<Integer> work =
            work(workspace, random.nextInt(10), now + random.nextLong(200 * MS));
        waiting.add(work.call());
        verdicts = admission.offer(work, now);
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
