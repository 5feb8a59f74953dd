package org.oriolewell.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.StageService;
import org.oriolewell.core.stage.PieceOutcome.Status;

/** Guards against short calls, overfilled makers, lost pieces and late work that delays other. */
class StageQueueTest {
  private static final long MILLI = 1_000_000;
  private static final StageService SERVICE =
      new StageService(
          1,
          2,
          7,
          Duration.ofMillis(150),
          Duration.ofMillis(18),
          30_000_000,
          Duration.ofSeconds(4));
  private static final UpstreamInstance FIRST = upstream("u1", "zone-a");
  private static final UpstreamInstance SECOND = upstream("u2", "zone-b");

  private final StageQueue queue = StageQueue.create("encode", SERVICE);

  private static UpstreamInstance upstream(String id, String zone) {
    return new UpstreamInstance(id, 1, "encode", "10.0.0.1:" + id.hashCode(), zone, 1, false);
  }

  private static StageWork work(long ticket, int pieces, long bytes, long latestStartMillis) {
    return work(ticket, pieces, bytes, latestStartMillis, "");
  }

  private static StageWork work(
      long ticket, int pieces, long bytes, long latestStartMillis, String zone) {
    return new StageWork(
        ticket,
        "origin",
        "request-" + ticket,
        0,
        "encode",
        zone,
        1,
        latestStartMillis * MILLI,
        10_000 * MILLI,
        bytes,
        IntStream.range(0, pieces).boxed().toList(),
        "key",
        List.of());
  }

  private StageCall onlyCall(long now) {
    List<StageCall> calls = queue.nextCalls(now);
    assertThat(calls).hasSize(1);
    return calls.get(0);
  }

  private static List<PieceOutcome> allDone(StageCall call) {
    List<PieceOutcome> outcomes = new ArrayList<>();
    for (StageCall.Item item : call.items()) {
      outcomes.add(
          PieceOutcome.done(
              item.piece(), call.upstream().address() + "/" + call.id() + "-" + outcomes.size()));
    }
    return outcomes;
  }

  @Test
  void piecesOfSeveralRequestsShareCall() {
    queue.upstreams(List.of(FIRST), 0);
    queue.add(work(1, 3, 1000, 500), 0);
    queue.add(work(2, 3, 1000, 400), 0);
    queue.add(work(3, 3, 1000, 300), 0);

    StageCall call = onlyCall(0);

    assertThat(call.items()).hasSize(7);
    assertThat(call.items().get(0).work().ticket()).isEqualTo(3);
    assertThat(queue.nextCalls(0)).isEmpty();
  }

  @Test
  void requestWhoseResultsDoNotFitIsNotBegun() {
    queue.upstreams(List.of(FIRST), 0);
    queue.add(work(1, 6, 3_000_000, 500), 0);
    StageCall call = onlyCall(0);
    queue.completed(call.id(), allDone(call), 250 * MILLI);
    queue.add(work(2, 5, 3_000_000, 900), 260 * MILLI);

    assertThat(queue.nextCalls(260 * MILLI)).isEmpty();

    queue.freed(
        List.of(
            call.upstream().address() + "/" + call.id() + "-0",
            call.upstream().address() + "/" + call.id() + "-1"),
        300 * MILLI);
    assertThat(onlyCall(300 * MILLI).items()).hasSize(5);
  }

  @Test
  void overdueCallIsRepeatedElsewhereAndFirstResultCounts() {
    queue.upstreams(List.of(FIRST, SECOND), 0);
    queue.add(work(1, 1, 1000, 500), 0);
    StageCall slow = onlyCall(0);

    queue.tick(600 * MILLI);
    StageCall repeat = onlyCall(600 * MILLI);
    assertThat(repeat.upstream()).isNotEqualTo(slow.upstream());

    StageQueue.Effects first = queue.completed(repeat.id(), allDone(repeat), 800 * MILLI);
    assertThat(first.outcomes()).hasSize(1);
    StageQueue.Effects second = queue.completed(slow.id(), allDone(slow), 900 * MILLI);
    assertThat(second.outcomes()).isEmpty();
    assertThat(second.unused()).hasSize(1);
  }

  @Test
  void failedCallIsRepeatedAndPieceFailsAfterThreeTries() {
    queue.upstreams(List.of(FIRST, SECOND), 0);
    queue.add(work(1, 1, 1000, 5_000), 0);
    long now = 0;
    List<StageQueue.Effects> effects = new ArrayList<>();
    for (int attempt = 0; attempt < 3; attempt++) {
      List<StageCall> calls = queue.nextCalls(now);
      while (calls.isEmpty()) {
        now += 100 * MILLI;
        calls = queue.nextCalls(now);
      }
      effects.add(queue.failed(calls.get(0).id(), false, now));
    }

    assertThat(effects.get(1).outcomes()).isEmpty();
    assertThat(effects.get(2).outcomes().values().iterator().next())
        .containsExactly(PieceOutcome.failed(0, Status.FAILED));
  }

  @Test
  void upstreamThatStaysSlowIsPausedLongerEachTime() {
    queue.upstreams(List.of(FIRST), 0);
    long now = 0;
    for (int call = 0; call < 3; call++) {
      queue.add(work(call, 1, 1000, 60_000), now);
      StageCall slow = onlyCall(now);
      now += 900 * MILLI;
      queue.completed(slow.id(), allDone(slow), now);
      queue.add(work(100 + call, 1, 1000, 60_000), now);
      assertThat(queue.nextCalls(now + (300L << call) * MILLI)).isEmpty();
      queue.cancel("origin", 100 + call);
      now += 3_300 * MILLI;
    }
  }

  @Test
  void resultsOfCanceledWorkAreUnused() {
    queue.upstreams(List.of(FIRST), 0);
    queue.add(work(1, 2, 1000, 500), 0);
    StageCall call = onlyCall(0);
    queue.cancel("origin", 1);

    assertThat(queue.completed(call.id(), allDone(call), 200 * MILLI).unused()).hasSize(2);
  }

  @Test
  void lateWorkFillsCallsButBeginsNoneUntilUpstreamIsIdle() {
    queue.upstreams(List.of(FIRST), 0);
    queue.add(work(1, 1, 1000, 10), 20 * MILLI);

    assertThat(queue.nextCalls(20 * MILLI)).isEmpty();
    queue.add(work(2, 1, 1000, 500), 30 * MILLI);
    assertThat(onlyCall(30 * MILLI).items()).hasSize(2);
  }

  @Test
  void lateWorkRunsAloneOnIdleUpstream() {
    queue.upstreams(List.of(FIRST), 0);
    queue.add(work(1, 1, 1000, 10), 20 * MILLI);

    assertThat(onlyCall(200 * MILLI).items()).hasSize(1);
  }

  @Test
  void lateWorkThatNeverBeganIsGivenUp() {
    queue.upstreams(List.of(), 0);
    queue.add(work(1, 1, 1000, 100), 0);

    assertThat(queue.tick(1500 * MILLI).outcomes()).isEmpty();
    assertThat(queue.tick(1700 * MILLI).outcomes().values().iterator().next())
        .containsExactly(PieceOutcome.failed(0, Status.LATE));
  }

  @Test
  void workWaitsShortlyForUpstreamInPreferredZone() {
    queue.upstreams(List.of(FIRST, SECOND), 0);
    queue.add(work(1, 7, 1000, 500, "zone-b"), 0);
    queue.add(work(2, 7, 1000, 600, "zone-b"), 0);

    assertThat(onlyCall(0).upstream()).isEqualTo(SECOND);
    assertThat(queue.nextCalls(199 * MILLI)).isEmpty();
    assertThat(onlyCall(200 * MILLI).upstream()).isEqualTo(FIRST);
  }

  @Test
  void workThatCannotWaitLeavesItsZone() {
    queue.upstreams(List.of(FIRST, SECOND), 0);
    queue.add(work(1, 7, 1000, 40, "zone-b"), 0);
    queue.add(work(2, 7, 1000, 40, "zone-b"), 0);

    assertThat(onlyCall(0).upstream()).isEqualTo(SECOND);
    assertThat(queue.nextCalls(39 * MILLI)).isEmpty();
    assertThat(onlyCall(40 * MILLI).upstream()).isEqualTo(FIRST);
  }

  @Test
  void upstreamThatRefusesForSpaceIsPausedAndPieceIsKept() {
    queue.upstreams(List.of(FIRST), 0);
    queue.add(work(1, 1, 1000, 5_000), 0);
    StageCall call = onlyCall(0);

    StageQueue.Effects effects =
        queue.completed(call.id(), List.of(PieceOutcome.failed(0, Status.NO_SPACE)), 10 * MILLI);

    assertThat(effects.outcomes()).isEmpty();
    assertThat(queue.nextCalls(100 * MILLI)).isEmpty();
    assertThat(queue.nextCalls(200 * MILLI)).hasSize(1);
  }

  @Test
  void announcedWorkCountsAsLoadForLaterHandOver() {
    queue.upstreams(List.of(FIRST), 0);
    queue.announce("origin", 9, 1, 1000, 14, 0);

    StageLoad load = queue.load(0);

    assertThat(load.expectedMillis(1, 0)).isEqualTo(276);
    assertThat(load.expectedMillis(1, 100)).isEqualTo(276 * 3 - 100);
    queue.cancel("origin", 9);
    assertThat(queue.load(0).expectedMillis(1, 100)).isEqualTo(276);
  }

  @Test
  void announcementLapsesIfItsWorkWentToAnotherDispatcher() {
    queue.upstreams(List.of(FIRST), 0);
    queue.announce("origin", 9, 1, 1000, 14, 0);

    assertThat(queue.load(3_900 * MILLI).expectedMillis(1, 100)).isGreaterThan(276);
    assertThat(queue.load(4_000 * MILLI).expectedMillis(1, 100)).isEqualTo(276);
  }

  @Test
  void loadWithoutUpstreamIsInfinite() {
    assertThat(queue.load(0).expectedMillis(0, 0)).isInfinite();
  }
}
