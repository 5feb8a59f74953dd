package org.oriolewell.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.roster.Ipv4SocketAddress;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.StageService;
import org.oriolewell.core.stage.PieceOutcome.Status;

/**
 * Checks batching, limits on result space, repeats of overdue and failed calls, and that late work
 * doesn't delay work that can be on time.
 */
class StageQueueTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final StageService SERVICE_CAPACITY =
      new StageService(
          1,
          2,
          7,
          Duration.ofMillis(150),
          Duration.ofMillis(18),
          30_000_000,
          Duration.ofSeconds(4));
  private static final UpstreamInstance UPSTREAM_IN_ZONE_A = upstream("u1", "zone-a");
  private static final UpstreamInstance UPSTREAM_IN_ZONE_B = upstream("u2", "zone-b");

  private final StageQueue queue = StageQueue.create("encode", SERVICE_CAPACITY);

  private static UpstreamInstance upstream(String id, String zone) {
    return new UpstreamInstance(
        id, 1, "encode", new Ipv4SocketAddress(id.hashCode(), 80), zone, 1, false);
  }

  private static StageWork work(long ticket, int pieces, long resultBytes, long latestStartMillis) {
    return work(ticket, pieces, resultBytes, latestStartMillis, "");
  }

  private static StageWork work(
      long ticket, int pieces, long resultBytes, long latestStartMillis, String zone) {
    return new StageWork(
        ticket,
        "origin",
        "request-" + ticket,
        0,
        "encode",
        zone,
        1,
        latestStartMillis * NANOS_PER_MILLI,
        10_000 * NANOS_PER_MILLI,
        resultBytes,
        IntStream.range(0, pieces).boxed().toList(),
        "key",
        List.of());
  }

  @Test
  void limitedUpstreamGetsNoMoreRequestsThanItNames() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A), 0);
    queue.limitStated("u1", OptionalDouble.of(1));
    int requests = 0;
    for (int step = 0; step < 1000; step++) {
      long now = step * 10 * NANOS_PER_MILLI;
      queue.add(work(step, 1, 10, 20_000), now);
      for (StageCall call : queue.nextCalls(now)) {
        requests++;
        queue.completed(call.id(), List.of(PieceOutcome.done(0, "h" + step)), now);
      }
      requests += queue.takeReleasePermit("u1", now) ? 1 : 0;
    }

    assertThat(requests).isBetween(9, 11);
    assertThat(queue.limitStated("u1", OptionalDouble.empty())).isTrue();
    assertThat(queue.nextCalls(10_000 * NANOS_PER_MILLI)).hasSize(1);
  }

  private StageCall nextOnlyCall(long now) {
    List<StageCall> calls = queue.nextCalls(now);
    assertThat(calls).hasSize(1);
    return calls.get(0);
  }

  private static List<PieceOutcome> outcomesAllDone(StageCall call) {
    List<PieceOutcome> outcomes = new ArrayList<>();
    for (StageCall.Item item : call.items()) {
      outcomes.add(
          PieceOutcome.done(
              item.piece(), call.upstream().address() + "/" + call.id() + "-" + outcomes.size()));
    }
    return outcomes;
  }

  /** Load pattern: an upstream repeats its last answer while the next call runs. */
  @Test
  void answerThatRepeatsResultsOfAnEarlierCallIsRecognized() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A), 0);
    queue.add(work(1, 2, 1000, 500), 0);
    StageCall firstCall = nextOnlyCall(0);
    List<PieceOutcome> firstAnswer = outcomesAllDone(firstCall);
    assertThat(queue.repeatsResults(firstCall.id(), firstAnswer)).isFalse();
    queue.completed(firstCall.id(), firstAnswer, 200 * NANOS_PER_MILLI);
    queue.add(work(2, 2, 1000, 900), 200 * NANOS_PER_MILLI);
    StageCall secondCall = nextOnlyCall(200 * NANOS_PER_MILLI);

    assertThat(queue.repeatsResults(secondCall.id(), firstAnswer)).isTrue();
    assertThat(queue.repeatsResults(secondCall.id(), outcomesAllDone(secondCall))).isFalse();
    assertThat(
            queue.repeatsResults(
                secondCall.id(),
                List.of(PieceOutcome.done(0, "a:1/same"), PieceOutcome.done(1, "a:1/same"))))
        .isTrue();
  }

  @Test
  void piecesOfSeveralRequestsAreBatchedIntoOneCall() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A), 0);
    queue.add(work(1, 3, 1000, 500), 0);
    queue.add(work(2, 3, 1000, 400), 0);
    queue.add(work(3, 3, 1000, 300), 0);

    StageCall call = nextOnlyCall(0);

    assertThat(call.items()).hasSize(7);
    assertThat(call.items().get(0).work().ticket()).isEqualTo(3);
    assertThat(queue.nextCalls(0)).isEmpty();
  }

  @Test
  void workWhoseResultsDoNotFitIsNotStarted() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A), 0);
    queue.add(work(1, 6, 3_000_000, 500), 0);
    StageCall call = nextOnlyCall(0);
    queue.completed(call.id(), outcomesAllDone(call), 250 * NANOS_PER_MILLI);
    queue.add(work(2, 5, 3_000_000, 900), 260 * NANOS_PER_MILLI);

    assertThat(queue.nextCalls(260 * NANOS_PER_MILLI)).isEmpty();

    queue.freed(
        List.of(
            call.upstream().address() + "/" + call.id() + "-0",
            call.upstream().address() + "/" + call.id() + "-1"),
        300 * NANOS_PER_MILLI);
    assertThat(nextOnlyCall(300 * NANOS_PER_MILLI).items()).hasSize(5);
  }

  @Test
  void overdueCallIsRepeatedElsewhereAndFirstResultCounts() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A, UPSTREAM_IN_ZONE_B), 0);
    queue.add(work(1, 1, 1000, 500), 0);
    StageCall overdueCall = nextOnlyCall(0);

    queue.tick(600 * NANOS_PER_MILLI);
    StageCall repeatedCall = nextOnlyCall(600 * NANOS_PER_MILLI);
    assertThat(repeatedCall.upstream()).isNotEqualTo(overdueCall.upstream());

    StageQueue.Effects firstAnswer =
        queue.completed(repeatedCall.id(), outcomesAllDone(repeatedCall), 800 * NANOS_PER_MILLI);
    assertThat(firstAnswer.outcomes()).hasSize(1);
    StageQueue.Effects secondAnswer =
        queue.completed(overdueCall.id(), outcomesAllDone(overdueCall), 900 * NANOS_PER_MILLI);
    assertThat(secondAnswer.outcomes()).isEmpty();
    assertThat(secondAnswer.unusedHandles()).hasSize(1);
  }

  @Test
  void failedCallIsRepeatedAndPieceFailsAfterThreeCalls() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A, UPSTREAM_IN_ZONE_B), 0);
    queue.add(work(1, 1, 1000, 5_000), 0);
    long now = 0;
    List<StageQueue.Effects> effects = new ArrayList<>();
    for (int attempt = 0; attempt < 3; attempt++) {
      List<StageCall> calls = queue.nextCalls(now);
      while (calls.isEmpty()) {
        now += 100 * NANOS_PER_MILLI;
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
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A), 0);
    long now = 0;
    for (int call = 0; call < 3; call++) {
      queue.add(work(call, 1, 1000, 60_000), now);
      StageCall overdueCall = nextOnlyCall(now);
      now += 900 * NANOS_PER_MILLI;
      queue.completed(overdueCall.id(), outcomesAllDone(overdueCall), now);
      queue.add(work(100 + call, 1, 1000, 60_000), now);
      assertThat(queue.nextCalls(now + (300L << call) * NANOS_PER_MILLI)).isEmpty();
      queue.cancel("origin", 100 + call);
      now += 3_300 * NANOS_PER_MILLI;
    }
  }

  @Test
  void resultsOfCanceledWorkAreReportedUnused() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A), 0);
    queue.add(work(1, 2, 1000, 500), 0);
    StageCall call = nextOnlyCall(0);
    queue.cancel("origin", 1);

    assertThat(
            queue
                .completed(call.id(), outcomesAllDone(call), 200 * NANOS_PER_MILLI)
                .unusedHandles())
        .hasSize(2);
  }

  @Test
  void lateWorkOnlyJoinsOtherCallsUntilUpstreamIsIdle() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A), 0);
    queue.add(work(1, 1, 1000, 10), 20 * NANOS_PER_MILLI);

    assertThat(queue.nextCalls(20 * NANOS_PER_MILLI)).isEmpty();
    queue.add(work(2, 1, 1000, 500), 30 * NANOS_PER_MILLI);
    assertThat(nextOnlyCall(30 * NANOS_PER_MILLI).items()).hasSize(2);
  }

  @Test
  void lateWorkRunsAloneOnIdleUpstream() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A), 0);
    queue.add(work(1, 1, 1000, 10), 20 * NANOS_PER_MILLI);

    assertThat(nextOnlyCall(200 * NANOS_PER_MILLI).items()).hasSize(1);
  }

  @Test
  void lateWorkThatNeverStartedFails() {
    queue.replaceUpstreams(List.of(), 0);
    queue.add(work(1, 1, 1000, 100), 0);

    assertThat(queue.tick(1500 * NANOS_PER_MILLI).outcomes()).isEmpty();
    assertThat(queue.tick(1700 * NANOS_PER_MILLI).outcomes().values().iterator().next())
        .containsExactly(PieceOutcome.failed(0, Status.LATE));
  }

  @Test
  void workWaitsBrieflyForUpstreamInPreferredZone() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A, UPSTREAM_IN_ZONE_B), 0);
    queue.add(work(1, 7, 1000, 500, "zone-b"), 0);
    queue.add(work(2, 7, 1000, 600, "zone-b"), 0);

    assertThat(nextOnlyCall(0).upstream()).isEqualTo(UPSTREAM_IN_ZONE_B);
    assertThat(queue.nextCalls(199 * NANOS_PER_MILLI)).isEmpty();
    assertThat(nextOnlyCall(200 * NANOS_PER_MILLI).upstream()).isEqualTo(UPSTREAM_IN_ZONE_A);
  }

  @Test
  void workRunsOutsidePreferredZoneWhenItCannotWait() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A, UPSTREAM_IN_ZONE_B), 0);
    queue.add(work(1, 7, 1000, 40, "zone-b"), 0);
    queue.add(work(2, 7, 1000, 40, "zone-b"), 0);

    assertThat(nextOnlyCall(0).upstream()).isEqualTo(UPSTREAM_IN_ZONE_B);
    assertThat(queue.nextCalls(39 * NANOS_PER_MILLI)).isEmpty();
    assertThat(nextOnlyCall(40 * NANOS_PER_MILLI).upstream()).isEqualTo(UPSTREAM_IN_ZONE_A);
  }

  @Test
  void upstreamWithoutSpaceIsPausedAndPieceIsQueuedAgain() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A), 0);
    queue.add(work(1, 1, 1000, 5_000), 0);
    StageCall call = nextOnlyCall(0);

    StageQueue.Effects effects =
        queue.completed(
            call.id(), List.of(PieceOutcome.failed(0, Status.NO_SPACE)), 10 * NANOS_PER_MILLI);

    assertThat(effects.outcomes()).isEmpty();
    assertThat(queue.nextCalls(100 * NANOS_PER_MILLI)).isEmpty();
    assertThat(queue.nextCalls(200 * NANOS_PER_MILLI)).hasSize(1);
  }

  @Test
  void announcedWorkCountsAsLoadForLaterSubmission() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A), 0);
    queue.announce("origin", 9, 1, 1000, 14, 0);

    StageLoad load = queue.load(0);

    assertThat(load.expectedMillis(1, 0)).isEqualTo(276);
    assertThat(load.expectedMillis(1, 100)).isEqualTo(276 * 3 - 100);
    queue.cancel("origin", 9);
    assertThat(queue.load(0).expectedMillis(1, 100)).isEqualTo(276);
  }

  @Test
  void announcementExpiresIfItsWorkIsNeverAdded() {
    queue.replaceUpstreams(List.of(UPSTREAM_IN_ZONE_A), 0);
    queue.announce("origin", 9, 1, 1000, 14, 0);

    assertThat(queue.load(3_900 * NANOS_PER_MILLI).expectedMillis(1, 100)).isGreaterThan(276);
    assertThat(queue.load(4_000 * NANOS_PER_MILLI).expectedMillis(1, 100)).isEqualTo(276);
  }

  @Test
  void expectedTimeWithoutUpstreamIsInfinite() {
    assertThat(queue.load(0).expectedMillis(0, 0)).isInfinite();
  }
}
