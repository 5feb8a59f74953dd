package org.oriolewell.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.overload.StageAdmission.Decision;
import org.oriolewell.core.overload.StageAdmission.Estimate;

/** Guards against refusals while there is room, and against work that can only come late. */
class AdmissionTest {
  private static Estimate own(double millis, double late) {
    return new Estimate("south", true, millis, late);
  }

  private static Estimate other(double millis) {
    return new Estimate("north", false, millis, millis);
  }

  @Test
  void requestThatCanBeOnTimeStaysInItsRegion() {
    assertThat(StageAdmission.decide(List.of(own(900, 900), other(850)), 1300, 6000))
        .isEqualTo(new Decision.Accept("south", 900, false));
  }

  @Test
  void muchFasterRegionIsTaken() {
    assertThat(StageAdmission.decide(List.of(own(1250, 1250), other(700)), 1300, 6000))
        .isEqualTo(new Decision.Accept("north", 700, false));
  }

  @Test
  void lateRequestIsServedWhileThereIsHardlyOtherWork() {
    assertThat(StageAdmission.decide(List.of(own(800, 900)), -200, 4000))
        .isEqualTo(new Decision.Accept("south", 900, true));
  }

  @Test
  void requestThatCannotBeOnTimeIsRefusedWithTimeToComeBack() {
    Decision decision = StageAdmission.decide(List.of(own(2000, 4000)), 1300, 6000);

    assertThat(decision).isEqualTo(new Decision.Refuse(Duration.ofMillis(700), 2000));
  }

  @Test
  void retryAfterIsAtMostThirdOfPatience() {
    Decision decision =
        StageAdmission.decide(
            List.of(own(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY)), 1300, 3000);

    assertThat(((Decision.Refuse) decision).retryAfter()).isEqualTo(Duration.ofMillis(1000));
  }

  @Test
  void forecastsAreCorrectedByHalfTheirMeanError() {
    ForecastBias bias = ForecastBias.create();
    for (int i = 0; i < 100; i++) {
      bias.observed("survey", 1000, 1400);
    }

    assertThat(bias.millis("survey")).isBetween(190.0, 210.0);
    assertThat(bias.millis("other")).isZero();
    for (int i = 0; i < 100; i++) {
      bias.refused("survey");
    }
    assertThat(bias.millis("survey")).isLessThan(20);
  }

  @Test
  void firstAttemptsDifferInPatienceWithoutCountingAsLater() {
    CallerPatience patience = CallerPatience.create();
    patience.waitedBefore("survey", Duration.ofMillis(6000));

    assertThat(patience.waitedBefore("survey", Duration.ofMillis(5100))).isZero();
    assertThat(patience.waitedBefore("survey", Duration.ofMillis(3520)))
        .isEqualTo(Duration.ofMillis(2000));
  }

  @Test
  void firstByteTimesFollowWhatIsObserved() {
    FirstByteTimes times = FirstByteTimes.create();
    for (int i = 0; i < 200; i++) {
      times.observed("survey", 400);
    }

    assertThat(times.expectedMillis("survey")).isBetween(395.0, 405.0);
  }
}
