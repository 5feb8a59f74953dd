package org.oriolewell.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.overload.StageAdmission.Decision;
import org.oriolewell.core.overload.StageAdmission.Estimate;

/** Checks that requests are accepted while capacity is free and that hopeless ones are refused. */
class AdmissionTest {
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(100);

  private static Estimate ownRegion(double expectedMillis, double lateExpectedMillis) {
    return new Estimate("south", true, expectedMillis, lateExpectedMillis);
  }

  private static Estimate otherRegion(double expectedMillis) {
    return new Estimate("north", false, expectedMillis, expectedMillis);
  }

  @Test
  void requestThatCanBeOnTimeStaysInItsRegion() {
    assertThat(StageAdmission.decide(List.of(ownRegion(900, 900), otherRegion(850)), 1300, 6000))
        .isEqualTo(new Decision.Accept("south", 900, false));
  }

  @Test
  void muchFasterRegionIsChosen() {
    assertThat(StageAdmission.decide(List.of(ownRegion(1250, 1250), otherRegion(700)), 1300, 6000))
        .isEqualTo(new Decision.Accept("north", 700, false));
  }

  @Test
  void lateRequestIsServedWhileThereIsHardlyOtherWork() {
    assertThat(StageAdmission.decide(List.of(ownRegion(800, 900)), -200, 4000))
        .isEqualTo(new Decision.Accept("south", 900, true));
  }

  @Test
  void requestThatCannotBeOnTimeIsRefusedWithRetryAfter() {
    Decision decision = StageAdmission.decide(List.of(ownRegion(2000, 4000)), 1300, 6000);

    assertThat(decision).isEqualTo(new Decision.Refuse(Duration.ofMillis(700), 2000));
  }

  @Test
  void retryAfterIsAtMostThirdOfPatience() {
    Decision decision =
        StageAdmission.decide(
            List.of(ownRegion(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY)), 1300, 3000);

    assertThat(((Decision.Refuse) decision).retryAfter()).isEqualTo(Duration.ofMillis(1000));
  }

  @Test
  void forecastsAreCorrectedByHalfTheirMeanErrorWhileItIsRecent() {
    ForecastBias bias = ForecastBias.create();
    long now = 0;
    for (int i = 0; i < 100; i++) {
      now += SAMPLE_INTERVAL.toNanos();
      bias.observed("survey", 1000, 1400, now);
    }

    assertThat(bias.correctionMillis("survey", now)).isBetween(190.0, 210.0);
    assertThat(bias.correctionMillis("other", now)).isZero();
    now += Duration.ofSeconds(4).toNanos();
    assertThat(bias.correctionMillis("survey", now)).isLessThan(20);
  }

  @Test
  void firstAttemptsWithLessPatienceAreNotTakenForRetries() {
    CallerPatience patience = CallerPatience.create();
    patience.waitedBefore("survey", Duration.ofMillis(6000));

    assertThat(patience.waitedBefore("survey", Duration.ofMillis(5100))).isZero();
    assertThat(patience.waitedBefore("survey", Duration.ofMillis(3520)))
        .isEqualTo(Duration.ofMillis(2000));
  }

  @Test
  void expectedFirstByteTimeFollowsObservedTimes() {
    FirstByteTimes times = FirstByteTimes.create();
    long now = 0;
    for (int i = 0; i < 200; i++) {
      now += SAMPLE_INTERVAL.toNanos();
      times.observed("survey", 400, now);
    }

    assertThat(times.expectedMillis("survey", now)).isBetween(395.0, 405.0);
  }

  @Test
  void answersOfOneStalledUpstreamDoNotDominate() {
    FirstByteTimes times = FirstByteTimes.create();
    long now = 0;
    for (int i = 0; i < 20; i++) {
      now += SAMPLE_INTERVAL.toNanos();
      times.observed("survey", 200, now);
    }
    for (int i = 0; i < 20; i++) {
      times.observed("survey", 3000, now + i);
    }

    assertThat(times.expectedMillis("survey", now + 20)).isLessThan(400);
  }
}
