package org.oriolewell.core.roster;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.function.UnaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Replays calls for changes to a store that answers each of them but one, while changes come at any
 * time, and checks how long keys can't be accepted. The baseline waits equally long in each call.
 */
class WatchScheduleTest {
  private static final Duration LONGEST_WAIT = Duration.ofMillis(2000);
  private static final long ANSWER_TIMEOUT_MILLIS = 1000;
  private static final long RETRY_DELAY_MILLIS = 100;
  private static final long BATCH_DELAY_MILLIS = 200;
  private static final long ANSWER_MILLIS = 5;
  private static final Duration SHORTEST_WAIT = Duration.ofMillis(100);
  private static final WatchSchedule SCHEDULE =
      new WatchSchedule(LONGEST_WAIT, SHORTEST_WAIT, Duration.ofMillis(1300));

  /** The calls of one gateway, in milliseconds from the first one. */
  private static final class Replay {
    private final ViewFreshness freshness;
    private final UnaryOperator<Duration> nextWait;
    private long now;
    private long staleMillis;

    Replay(Duration maxAge, UnaryOperator<Duration> nextWait) {
      freshness = ViewFreshness.create(maxAge);
      this.nextWait = nextWait;
      freshness.confirm(0, 0);
    }

    private Duration freshFor() {
      return freshness.freshFor(Duration.ofMillis(now).toNanos());
    }

    private void advance(long millis) {
      staleMillis += Math.max(0, millis - freshFor().toMillis());
      now += millis;
    }

    private void confirm(long millis) {
      long nanos = Duration.ofMillis(millis).toNanos();
      freshness.confirm(nanos, nanos);
    }

    /** A call that a change ends after part of its wait. */
    void callWithChange(double part) {
      final long sentAt = now;
      advance((long) (nextWait.apply(freshFor()).toMillis() * part) + ANSWER_MILLIS);
      confirm(sentAt);
      advance(BATCH_DELAY_MILLIS);
    }

    void callWithoutChange() {
      callWithoutChange(nextWait.apply(freshFor()).toMillis());
    }

    private void callWithoutChange(long waitMillis) {
      advance(waitMillis + ANSWER_MILLIS);
      confirm(now - ANSWER_MILLIS);
    }

    /** A call whose answer is lost, and the short one after it. */
    void lostCall() {
      advance(nextWait.apply(freshFor()).toMillis() + ANSWER_TIMEOUT_MILLIS + RETRY_DELAY_MILLIS);
      callWithoutChange(SHORTEST_WAIT.toMillis());
    }

    long staleMillis() {
      return staleMillis;
    }
  }

  @Property(tries = 500, seed = "20261207")
  void keysAreAcceptedWhileChangesComeAtAnyTime(
      @ForAll @IntRange(min = 2400, max = 10_000) int maxAgeMillis,
      @ForAll @IntRange(max = 100) int firstPart,
      @ForAll @IntRange(max = 100) int secondPart) {
    Replay replay = new Replay(Duration.ofMillis(maxAgeMillis), SCHEDULE::nextWait);
    for (int i = 0; i < 5; i++) {
      replay.callWithChange(firstPart / 100.0);
      replay.callWithChange(secondPart / 100.0);
      replay.callWithoutChange();
    }

    assertThat(replay.staleMillis()).isZero();
  }

  @Property(tries = 500, seed = "20261207")
  void keysAreAcceptedBesideOneLostAnswerAfterChange(
      @ForAll @IntRange(min = 4400, max = 10_000) int maxAgeMillis,
      @ForAll @IntRange(max = 100) int part) {
    Replay replay = new Replay(Duration.ofMillis(maxAgeMillis), SCHEDULE::nextWait);
    replay.callWithChange(part / 100.0);
    replay.lostCall();
    replay.callWithoutChange();

    assertThat(replay.staleMillis()).isZero();
  }

  /** Shows that the replayed load needs the schedule: the baseline refuses keys in both cases. */
  @Test
  void constantWaitLeavesKeysUnconfirmed() {
    Replay changes = new Replay(Duration.ofMillis(2400), freshFor -> LONGEST_WAIT);
    changes.callWithChange(0.75);
    changes.callWithoutChange();
    Replay lostAnswer = new Replay(Duration.ofMillis(4400), freshFor -> LONGEST_WAIT);
    lostAnswer.callWithChange(0.95);
    lostAnswer.lostCall();

    assertThat(changes.staleMillis()).isPositive();
    assertThat(lostAnswer.staleMillis()).isPositive();
  }

  @Test
  void waitIsWithinItsBounds() {
    assertThat(SCHEDULE.nextWait(Duration.ZERO)).isEqualTo(SHORTEST_WAIT);
    assertThat(SCHEDULE.nextWait(Duration.ofMillis(2000))).isEqualTo(Duration.ofMillis(700));
    assertThat(SCHEDULE.nextWait(Duration.ofDays(1))).isEqualTo(LONGEST_WAIT);
  }
}
