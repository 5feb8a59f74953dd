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
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.StageService;

/**
 * Replays the stage load of a day with a burst against a queue and against the plain way, one call
 * a request at the upstream with the fewest calls. Guards the gain for which calls are shared.
 */
class BurstReplayTest {
  private static final long MILLI = 1_000_000;

  /** Capacity of a retrieval stage as the operators' sheet states it. */
  private static final StageService SERVICE =
      new StageService(
          1, 2, 28, Duration.ofMillis(150), Duration.ofMillis(5), 4_812_500, Duration.ofSeconds(4));

  private static final int UPSTREAMS = 2;
  private static final int PIECES = 8;

  /** Time in which a stage has to end so that a chain of three keeps its target of 1,700 ms. */
  private static final long TARGET = 500 * MILLI;

  /** Share that users are promised: 95 in 100 requests on time. */
  private static final double PROMISED = 0.95;

  /** Arrivals a second: usual load, a burst of 2.3 times for six seconds, usual load. */
  private static final int[] RATES = {9, 9, 9, 9, 21, 21, 21, 21, 21, 21, 9, 9, 9, 9};

  private static List<Long> arrivals() {
    SplittableRandom random = new SplittableRandom(7);
    List<Long> times = new ArrayList<>();
    for (int second = 0; second < RATES.length; second++) {
      for (int i = 0; i < RATES[second]; i++) {
        times.add((long) ((second + random.nextDouble()) * 1000 * MILLI));
      }
    }
    times.sort(Comparator.naturalOrder());
    return times;
  }

  @Test
  void sharedCallsKeepPromiseWhereOneCallForEachRequestDoesNot() {
    List<Long> arrivals = arrivals();

    assertThat(onTime(arrivals, shared(arrivals))).isGreaterThanOrEqualTo(PROMISED);
    assertThat(onTime(arrivals, oneCallEach(arrivals))).isLessThan(0.5);
  }

  private static double onTime(List<Long> arrivals, long[] ends) {
    long good =
        IntStream.range(0, ends.length)
            .filter(i -> ends[i] > 0 && ends[i] - arrivals.get(i) <= TARGET)
            .count();
    return good / (double) arrivals.size();
  }

  private static long[] oneCallEach(List<Long> arrivals) {
    long[] freeAt = new long[UPSTREAMS];
    long[] ends = new long[arrivals.size()];
    for (int i = 0; i < ends.length; i++) {
      int least = freeAt[0] <= freeAt[1] ? 0 : 1;
      long start = Math.max(arrivals.get(i), freeAt[least]);
      freeAt[least] = start + SERVICE.callTime(PIECES).toNanos();
      ends[i] = freeAt[least];
    }
    return ends;
  }

  private record Running(StageCall call, long endsAt) {}

  private static long[] shared(List<Long> arrivals) {
    StageQueue queue = StageQueue.create("retrieve", SERVICE);
    List<UpstreamInstance> upstreams =
        IntStream.range(0, UPSTREAMS)
            .mapToObj(i -> new UpstreamInstance("u" + i, 1, "retrieve", "h:" + i, "z", 1, false))
            .toList();
    queue.upstreams(upstreams, 0);
    long[] ends = new long[arrivals.size()];
    int[] missing = new int[arrivals.size()];
    PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingLong(Running::endsAt));
    Deque<Integer> coming = new ArrayDeque<>(IntStream.range(0, ends.length).boxed().toList());
    while (!coming.isEmpty() || !running.isEmpty()) {
      long now;
      Integer next = coming.peek();
      Running ending = running.peek();
      if (ending == null || (next != null && arrivals.get(next) <= ending.endsAt())) {
        int index = coming.remove();
        now = arrivals.get(index);
        missing[index] = PIECES;
        queue.add(work(index, now), now);
      } else {
        running.remove();
        now = ending.endsAt();
        complete(queue, ending, now, missing, ends);
      }
      for (StageCall call : queue.nextCalls(now)) {
        running.add(new Running(call, now + call.expected().toNanos()));
      }
    }
    return ends;
  }

  private static void complete(
      StageQueue queue, Running ending, long now, int[] missing, long[] ends) {
    List<PieceOutcome> outcomes = new ArrayList<>();
    List<String> handles = new ArrayList<>();
    for (StageCall.Item item : ending.call().items()) {
      String handle = item.work().ticket() + "/" + item.piece();
      handles.add(handle);
      outcomes.add(PieceOutcome.done(item.piece(), handle));
    }
    queue
        .completed(ending.call().id(), outcomes, now)
        .outcomes()
        .forEach(
            (work, done) -> {
              int index = (int) work.ticket();
              missing[index] -= done.size();
              if (missing[index] == 0) {
                ends[index] = now;
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
        now + TARGET - SERVICE.callTime(PIECES).toNanos(),
        now + 5_000 * MILLI,
        60_000,
        IntStream.range(0, PIECES).boxed().toList(),
        "",
        List.of("input"));
  }
}
