package org.oriolewell.core.overload;

import static java.util.Comparator.comparingDouble;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewell.core.overload.StageAdmission.Decision;
import org.oriolewell.core.overload.StageAdmission.Decision.Accept;
import org.oriolewell.core.overload.StageAdmission.Decision.Refuse;
import org.oriolewell.core.overload.StageAdmission.Estimate;

/** Guards against refusing all requests of a route for the slow answers of a burst that is over. */
class AdmissionReplayTest {
  private static final String ROUTE = "query";
  private static final double TARGET_MILLIS = 1600;
  private static final double PATIENCE_MILLIS = 15_000;

  /** Start of a burst in which the engines answer all their requests late and together. */
  private static final double BURST_START_MILLIS = 5_000;

  private static final double BURST_END_MILLIS = 10_000;
  private static final double END_MILLIS = 34_000;

  /** Longest time after a burst until requests are accepted again, by the service's objective. */
  private static final Duration MAX_RECOVERY = Duration.ofSeconds(2);

  /** Worth of a late answer relative to one on time. */
  private static final double LATE_WORTH = 0.15;

  /** Share of the worth of all requests that the least urgent route must earn. */
  private static final double WORTH_FLOOR = 0.39;

  /** Replayed estimators of one gateway. */
  private interface Estimators {
    double firstByteMillis(double atMillis);

    double correctionMillis(double atMillis);

    void observed(Answer answer);

    default void refused() {}
  }

  private record Arrival(
      double atMillis, double stagesForecastMillis, double stagesMillis, double engineMillis) {
    double answerMillis() {
      return stagesMillis + engineMillis;
    }
  }

  private record Answer(Arrival arrival, double forecastMillis) {
    double millis() {
      return arrival.answerMillis();
    }

    double atMillis() {
      return arrival.atMillis() + millis();
    }
  }

  private record Outcome(Arrival arrival, Decision decision) {}

  private static List<Arrival> arrivals(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Arrival> arrivals = new ArrayList<>();
    for (double at = 0; at < END_MILLIS; at += random.nextDouble(100, 460)) {
      boolean burst = at >= BURST_START_MILLIS && at < BURST_END_MILLIS;
      double stagesMillis = random.nextDouble(400, 800);
      double errorMillis = burst ? random.nextDouble(200, 1000) : random.nextDouble(-100, 200);
      double engineMillis = random.nextDouble(120, 240);
      if (burst && at + stagesMillis + errorMillis < BURST_END_MILLIS) {
        engineMillis = BURST_END_MILLIS - at - stagesMillis - errorMillis + engineMillis;
      }
      arrivals.add(new Arrival(at, stagesMillis, stagesMillis + errorMillis, engineMillis));
    }
    return arrivals;
  }

  private static List<Outcome> replay(List<Arrival> arrivals, Estimators estimators) {
    List<Outcome> outcomes = new ArrayList<>();
    PriorityQueue<Answer> answers = new PriorityQueue<>(comparingDouble(Answer::atMillis));
    for (Arrival arrival : arrivals) {
      double now = arrival.atMillis();
      while (!answers.isEmpty() && answers.element().atMillis() <= now) {
        estimators.observed(answers.remove());
      }
      double forecastMillis = arrival.stagesForecastMillis() + estimators.firstByteMillis(now);
      double expectedMillis = forecastMillis + estimators.correctionMillis(now);
      Decision decision =
          StageAdmission.decide(
              List.of(new Estimate("south", true, expectedMillis, Double.POSITIVE_INFINITY)),
              TARGET_MILLIS,
              PATIENCE_MILLIS);
      if (decision instanceof Accept) {
        answers.add(new Answer(arrival, forecastMillis));
      } else {
        estimators.refused();
      }
      outcomes.add(new Outcome(arrival, decision));
    }
    return outcomes;
  }

  private static Estimators aging() {
    FirstByteTimes times = FirstByteTimes.create();
    ForecastBias bias = ForecastBias.create();
    return new Estimators() {
      @Override
      public double firstByteMillis(double atMillis) {
        return times.expectedMillis(ROUTE, nanos(atMillis));
      }

      @Override
      public double correctionMillis(double atMillis) {
        return bias.correctionMillis(ROUTE, nanos(atMillis));
      }

      @Override
      public void observed(Answer answer) {
        long now = nanos(answer.atMillis());
        times.observed(ROUTE, answer.arrival().engineMillis(), now);
        bias.observed(ROUTE, answer.forecastMillis(), answer.millis(), now);
      }
    };
  }

  /** Returns means that change with answers and refusals only, however old they are. */
  private static Estimators withoutAging() {
    return new Estimators() {
      private double meanMillis = 200;
      private double deviationMillis = 50;
      private double errorMillis;

      @Override
      public double firstByteMillis(double atMillis) {
        return meanMillis + deviationMillis / 2;
      }

      @Override
      public double correctionMillis(double atMillis) {
        return Math.max(-200, Math.min(800, errorMillis / 2));
      }

      @Override
      public void observed(Answer answer) {
        double engineMillis = answer.arrival().engineMillis();
        deviationMillis += 0.1 * (Math.abs(engineMillis - meanMillis) - deviationMillis);
        meanMillis += 0.1 * (engineMillis - meanMillis);
        double newErrorMillis = answer.millis() - answer.forecastMillis();
        errorMillis += 0.12 * (Math.max(-200, Math.min(1600, newErrorMillis)) - errorMillis);
      }

      @Override
      public void refused() {
        errorMillis *= 0.97;
      }
    };
  }

  private static long nanos(double millis) {
    return (long) (millis * 1e6);
  }

  /** Returns the share of requests after the recovery that are not accepted as on time. */
  private static double refusedShareAfterRecovery(List<Outcome> outcomes) {
    return outcomes.stream()
        .filter(
            outcome -> outcome.arrival().atMillis() >= BURST_END_MILLIS + MAX_RECOVERY.toMillis())
        .mapToInt(outcome -> outcome.decision() instanceof Accept accept && !accept.late() ? 0 : 1)
        .average()
        .orElseThrow();
  }

  private static double worthShare(List<Outcome> outcomes) {
    return outcomes.stream()
        .mapToDouble(
            outcome -> {
              if (outcome.decision() instanceof Refuse) {
                return 0;
              }
              return outcome.arrival().answerMillis() <= TARGET_MILLIS ? 1 : LATE_WORTH;
            })
        .average()
        .orElseThrow();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void requestsAreAcceptedAgainSoonAfterBurst(long seed) {
    List<Outcome> outcomes = replay(arrivals(seed), aging());

    assertThat(refusedShareAfterRecovery(outcomes)).isZero();
    assertThat(worthShare(outcomes)).isGreaterThanOrEqualTo(WORTH_FLOOR);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void withoutAgingRequestsStayRefusedAfterBurst(long seed) {
    List<Outcome> outcomes = replay(arrivals(seed), withoutAging());

    assertThat(refusedShareAfterRecovery(outcomes)).isGreaterThan(0.5);
    assertThat(worthShare(outcomes)).isLessThan(WORTH_FLOOR);
  }
}
