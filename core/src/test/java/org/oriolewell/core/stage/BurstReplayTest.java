package org.oriolewell.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.roster.Ipv4SocketAddress;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.StageService;

/**
 * Checks that batching pieces of several requests into one call keeps requests on time during a
 * load burst, where one call per request at the least loaded upstream doesn't. Simulates both with
 * the same arrivals.
 */
class BurstReplayTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Capacity of an upstream that runs a retrieval stage. */
  private static final StageService SERVICE_CAPACITY =
      new StageService(
          1, 2, 28, Duration.ofMillis(150), Duration.ofMillis(5), 4_812_500, Duration.ofSeconds(4));

  private static final int UPSTREAM_COUNT = 2;
  private static final int PIECES_PER_REQUEST = 8;

  /**
   * Longest time in nanoseconds from a stage's arrival to its results, for a chain of three stages
   * with a latency target of 1,700 ms.
   */
  private static final long STAGE_TARGET_NANOS = 500 * NANOS_PER_MILLI;

  /** Share of requests that must be on time by the service level objective. */
  private static final double MIN_ON_TIME_SHARE = 0.95;

  /** Arrivals in each second: usual load, a burst of 2.3 times that for six seconds, usual load. */
  private static final int[] ARRIVALS_PER_SECOND = {9, 9, 9, 9, 21, 21, 21, 21, 21, 21, 9, 9, 9, 9};

  private static List<Long> arrivalTimes() {
    SplittableRandom random = new SplittableRandom(7);
    List<Long> arrivalTimes = new ArrayList<>();
    for (int second = 0; second < ARRIVALS_PER_SECOND.length; second++) {
      for (int i = 0; i < ARRIVALS_PER_SECOND[second]; i++) {
        arrivalTimes.add((long) ((second + random.nextDouble()) * 1000 * NANOS_PER_MILLI));
      }
    }
    arrivalTimes.sort(Comparator.naturalOrder());
    return arrivalTimes;
  }

  @Test
  void batchedCallsStayOnTimeInBurstUnlikeOneCallPerRequest() {
    List<Long> arrivalTimes = arrivalTimes();

    assertThat(onTimeShare(arrivalTimes, simulateBatching(arrivalTimes)))
        .isGreaterThanOrEqualTo(MIN_ON_TIME_SHARE);
    assertThat(onTimeShare(arrivalTimes, simulateOneCallPerRequest(arrivalTimes))).isLessThan(0.5);
  }

  private static double onTimeShare(List<Long> arrivalTimes, long[] endTimes) {
    long onTimeCount =
        IntStream.range(0, endTimes.length)
            .filter(i -> endTimes[i] > 0 && endTimes[i] - arrivalTimes.get(i) <= STAGE_TARGET_NANOS)
            .count();
    return onTimeCount / (double) arrivalTimes.size();
  }

  private static long[] simulateOneCallPerRequest(List<Long> arrivalTimes) {
    long[] upstreamFreeAt = new long[UPSTREAM_COUNT];
    long[] endTimes = new long[arrivalTimes.size()];
    for (int i = 0; i < endTimes.length; i++) {
      int leastLoaded = upstreamFreeAt[0] <= upstreamFreeAt[1] ? 0 : 1;
      long callStart = Math.max(arrivalTimes.get(i), upstreamFreeAt[leastLoaded]);
      upstreamFreeAt[leastLoaded] =
          callStart + SERVICE_CAPACITY.callTime(PIECES_PER_REQUEST).toNanos();
      endTimes[i] = upstreamFreeAt[leastLoaded];
    }
    return endTimes;
  }

  private record SimulatedCall(StageCall call, long endsAt) {}

  private static long[] simulateBatching(List<Long> arrivalTimes) {
    StageQueue queue = StageQueue.create("retrieve", SERVICE_CAPACITY);
    List<UpstreamInstance> upstreams =
        IntStream.range(0, UPSTREAM_COUNT)
            .mapToObj(
                i ->
                    new UpstreamInstance(
                        "u" + i, 1, "retrieve", new Ipv4SocketAddress(1, i), "z", 1, false))
            .toList();
    queue.replaceUpstreams(upstreams, 0);
    long[] endTimes = new long[arrivalTimes.size()];
    int[] missingPieces = new int[arrivalTimes.size()];
    PriorityQueue<SimulatedCall> simulatedCalls =
        new PriorityQueue<>(Comparator.comparingLong(SimulatedCall::endsAt));
    Deque<Integer> upcomingArrivals =
        new ArrayDeque<>(IntStream.range(0, endTimes.length).boxed().toList());
    while (!upcomingArrivals.isEmpty() || !simulatedCalls.isEmpty()) {
      long now;
      Integer nextArrival = upcomingArrivals.peek();
      SimulatedCall endingCall = simulatedCalls.peek();
      if (endingCall == null
          || (nextArrival != null && arrivalTimes.get(nextArrival) <= endingCall.endsAt())) {
        int index = upcomingArrivals.remove();
        now = arrivalTimes.get(index);
        missingPieces[index] = PIECES_PER_REQUEST;
        queue.add(work(index, now), now);
      } else {
        simulatedCalls.remove();
        now = endingCall.endsAt();
        completeCall(queue, endingCall, now, missingPieces, endTimes);
      }
      for (StageCall call : queue.nextCalls(now)) {
        simulatedCalls.add(new SimulatedCall(call, now + call.expectedDuration().toNanos()));
      }
    }
    return endTimes;
  }

  private static void completeCall(
      StageQueue queue, SimulatedCall endingCall, long now, int[] missingPieces, long[] endTimes) {
    List<PieceOutcome> outcomes = new ArrayList<>();
    List<String> handles = new ArrayList<>();
    for (StageCall.Item item : endingCall.call().items()) {
      String handle = item.work().ticket() + "/" + item.piece();
      handles.add(handle);
      outcomes.add(PieceOutcome.done(item.piece(), handle));
    }
    queue
        .completed(endingCall.call().id(), outcomes, now)
        .outcomes()
        .forEach(
            (work, pieceOutcomes) -> {
              int index = (int) work.ticket();
              missingPieces[index] -= pieceOutcomes.size();
              if (missingPieces[index] == 0) {
                endTimes[index] = now;
              }
            });
    queue.freed(handles, now);
  }

  private static StageWork work(int index, long now) {
    return new StageWork(
        index,
        "origin",
        "request-" + index,
        1,
        "retrieve",
        "",
        1,
        now + STAGE_TARGET_NANOS - SERVICE_CAPACITY.callTime(PIECES_PER_REQUEST).toNanos(),
        now + 5_000 * NANOS_PER_MILLI,
        60_000,
        IntStream.range(0, PIECES_PER_REQUEST).boxed().toList(),
        "",
        List.of("input"));
  }
}
