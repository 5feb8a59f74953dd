package org.oriolewell.standins;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Events of a prefix cache as the engine reports them: late, and with gaps. A lost event leaves a
 * gap in the sequence numbers.
 */
final class CacheEvents {
  private static final int KEPT = 10_000;
  private static final int ANSWER_LIMIT = 1000;

  private final InstantSource clock;
  private final Duration lag;
  private final double loss;
  private final Random random;
  private final Deque<CacheEvent> events = new ArrayDeque<>();
  private long sequence;

  private record CacheEvent(long sequence, Instant time, String kind, long block) {}

  CacheEvents(InstantSource clock, Duration lag, double loss, long seed) {
    this.clock = clock;
    this.lag = lag;
    this.loss = loss;
    this.random = new Random(seed);
  }

  synchronized void add(String kind, long block) {
    sequence++;
    if (random.nextDouble() < loss) {
      return;
    }
    events.addLast(new CacheEvent(sequence, clock.instant(), kind, block));
    if (events.size() > KEPT) {
      events.removeFirst();
    }
  }

  /** Returns the visible events after a sequence number. */
  synchronized Map<String, Object> json(long after) {
    Instant visible = clock.instant().minus(lag);
    List<Map<String, Object>> shown = new ArrayList<>();
    long last = after;
    for (CacheEvent event : events) {
      if (event.sequence() <= after) {
        continue;
      }
      if (event.time().isAfter(visible) || shown.size() == ANSWER_LIMIT) {
        break;
      }
      last = event.sequence();
      shown.add(
          StandinServer.ordered(
              "seq", event.sequence(), "kind", event.kind(), "prefix", Hashes.hex(event.block())));
    }
    return StandinServer.ordered("events", shown, "last", last);
  }
}
