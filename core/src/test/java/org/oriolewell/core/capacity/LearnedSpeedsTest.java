package org.oriolewell.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks that speeds are learned from streams despite late reads and prompts read beside them. */
class LearnedSpeedsTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final LearnedSpeeds speeds = LearnedSpeeds.create();
  private final SplittableRandom random = new SplittableRandom(1);
  private long now = 1;

  /** Sends a stream; some gaps contain the time to read another prompt. */
  private void stream(String upstream, double speed, long readDelayMillis) {
    StreamPace pace = StreamPace.of(speeds, upstream);
    double writtenAt = now;
    int unread = 0;
    for (int event = 0; event < 24; event++) {
      writtenAt += (20 + (random.nextInt(14) == 0 ? 60 : 0)) * NANOS_PER_MILLI / speed;
      unread++;
      if (random.nextInt(2) == 0 || readDelayMillis == 0) {
        now = (long) writtenAt + random.nextLong(readDelayMillis + 1) * NANOS_PER_MILLI;
        pace.received(unread, now);
        unread = 0;
      }
    }
  }

  private int level(String upstream) {
    return speeds.level(upstream, now).orElseThrow();
  }

  @Test
  void speedIsLearnedWhileOtherPromptsAreRead() {
    for (int i = 0; i < 5; i++) {
      stream("slow", 0.6, 0);
      stream("fast", 1.6, 0);
    }

    assertThat(level("slow")).isBetween(-4, -2);
    assertThat(level("fast")).isBetween(2, 3);
  }

  /** A gateway with little processor time reads several events at once, which isn't speed. */
  @Test
  void lateReadsDoNotLookFast() {
    for (int i = 0; i < 5; i++) {
      stream("e", 1, 15);
    }
    assertThat(level("e")).isBetween(-1, 1);

    StreamPace pace = StreamPace.of(speeds, "bunched");
    for (int i = 0; i < 100; i++) {
      pace.received(i % 7, now + i);
    }
    assertThat(speeds.level("bunched", now)).isEmpty();
  }

  @Test
  void changeOfSpeedIsFollowedAndOldSpeedForgotten() {
    stream("e", 1, 0);
    stream("e", 1, 0);
    stream("e", 0.4, 0);
    stream("e", 0.4, 0);
    stream("e", 0.4, 0);

    assertThat(level("e")).isBetween(-6, -4);
    assertThat(speeds.level("e", now + 31_000 * NANOS_PER_MILLI)).isEmpty();
  }
}
