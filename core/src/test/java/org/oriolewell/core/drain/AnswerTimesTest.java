package org.oriolewell.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class AnswerTimesTest {
  private static final Duration SHORT = Duration.ofMillis(80);
  private static final Duration LONG = Duration.ofSeconds(3);

  private final AnswerTimes times = AnswerTimes.create();

  private static long at(int seconds) {
    return Duration.ofSeconds(seconds).toNanos();
  }

  @Test
  void timeOfRouteWithoutAnswersIsUnknown() {
    times.observed("r1", SHORT, at(0));

    assertThat(times.longest("r2", at(0))).isNull();
  }

  @Test
  void longestAnswerOfTheCurrentAndPreviousWindowCounts() {
    times.observed("r1", LONG, at(0));
    times.observed("r1", SHORT, at(70));

    assertThat(times.longest("r1", at(110))).isEqualTo(LONG);
  }

  @Test
  void olderAnswersAreForgotten() {
    times.observed("r1", LONG, at(0));
    times.observed("r1", SHORT, at(70));

    assertThat(times.longest("r1", at(130))).isEqualTo(SHORT);
    assertThat(times.longest("r1", at(400))).isNull();
  }
}
