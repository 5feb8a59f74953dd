package org.oriolewell.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Objects;
import org.junit.jupiter.api.Test;

class AnswerTimesTest {
  private static final Duration SHORT = Duration.ofMillis(80);
  private static final Duration LONG = Duration.ofSeconds(3);

  private final AnswerTimes times = AnswerTimes.create();

  private static long at(int seconds) {
    return Duration.ofSeconds(seconds).toNanos();
  }

  private Duration longest(int seconds) {
    return Objects.requireNonNull(times.recent("r1", at(seconds))).longest();
  }

  private Duration usual(int seconds) {
    return Objects.requireNonNull(times.recent("r1", at(seconds))).usual();
  }

  @Test
  void timeOfRouteWithoutAnswersIsUnknown() {
    times.observed("r1", SHORT, at(0));

    assertThat(times.recent("r2", at(0))).isNull();
  }

  @Test
  void longestAnswerOfTheCurrentAndPreviousWindowCounts() {
    times.observed("r1", LONG, at(0));
    times.observed("r1", SHORT, at(70));

    assertThat(longest(110)).isEqualTo(LONG);
  }

  @Test
  void longestAnswerIsForgottenAfterTwoWindows() {
    times.observed("r1", LONG, at(0));
    for (int i = 0; i < 20; i++) {
      times.observed("r1", SHORT, at(70));
    }

    assertThat(longest(130)).isBetween(SHORT, SHORT.multipliedBy(9).dividedBy(8));
    assertThat(longest(400)).isBetween(SHORT, SHORT.multipliedBy(9).dividedBy(8));
  }

  @Test
  void usualTimeIsTheOneThatNineOfTenAnswersDoNotExceed() {
    for (int i = 0; i < 40; i++) {
      times.observed("r1", i % 20 == 0 ? LONG : SHORT, at(i));
    }

    assertThat(usual(40)).isBetween(SHORT, SHORT.multipliedBy(9).dividedBy(8));
    assertThat(longest(40)).isEqualTo(LONG);
  }
}
