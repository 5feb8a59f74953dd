package org.oriolewell.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays the requests of a process that is being stopped: two minutes of traffic; requests on new
 * connections for 2.3 s; then fewer ones, on open connections, until the open requests are ended.
 * During the stop answers take up to 1.5 times as long, since other processes are loaded more.
 */
class StopAdmissionReplayTest {
  private static final Duration BEFORE_STOP = Duration.ofMinutes(2);
  private static final Duration ACCEPTING = Duration.ofMillis(2300);
  private static final double REQUESTS_PER_SECOND = 20;
  private static final double LATE_REQUESTS_PER_SECOND = 4;
  private static final double SLOWDOWN_DURING_STOP = 1.5;
  private static final int SEEDS = 20;

  /**
   * How many times as long as recent answers a late one can take: a long stream after short ones.
   */
  private static final double LATE_FACTOR = 14;

  /** Share of the refused requests that no other process answers in time. */
  private static final double LOST_AFTER_REFUSAL = 0.15;

  /** Kind of request; its answers take the median time, or two to three times as long in a tail. */
  private record Kind(String route, Duration median, Duration deadline) {
    private long sampleNanos(Random random) {
      return (long) (median.toNanos() * Math.min(3, Math.exp(0.45 * random.nextGaussian())));
    }
  }

  private static final Kind[] KINDS = {
    new Kind("lookup", Duration.ofMillis(40), Duration.ofMillis(400)),
    new Kind("record", Duration.ofMillis(90), Duration.ofSeconds(2)),
    new Kind("summary", Duration.ofMillis(700), Duration.ofSeconds(6)),
    new Kind("stream", Duration.ofMillis(1800), Duration.ofSeconds(15)),
  };

  /** How the requests that were read during stops ended; late are those on open connections. */
  private record Result(int answered, int refused, int cutOff, int lateCutOff, int lateAnswered) {
    private Result plus(Result other) {
      return new Result(
          answered + other.answered,
          refused + other.refused,
          cutOff + other.cutOff,
          lateCutOff + other.lateCutOff,
          lateAnswered + other.lateAnswered);
    }

    private double lost() {
      return cutOff + LOST_AFTER_REFUSAL * refused;
    }
  }

  private static Result replay(Duration stopTime, StopAdmission admission) {
    return replay(stopTime, 1, admission);
  }

  /**
   * Replays stops.
   *
   * @param lateFactor how many times as long the requests on open connections take
   */
  private static Result replay(Duration stopTime, double lateFactor, StopAdmission admission) {
    Result result = new Result(0, 0, 0, 0, 0);
    for (long seed = 1; seed <= SEEDS; seed++) {
      result = result.plus(replay(stopTime, lateFactor, new Random(seed), admission));
    }
    return result;
  }

  private static Result replay(
      Duration stopTime, double lateFactor, Random random, StopAdmission admission) {
    AnswerTimes times = AnswerTimes.create();
    long stopStartedAt = BEFORE_STOP.toNanos();
    long acceptingUntil = stopStartedAt + ACCEPTING.toNanos();
    long endsAt = stopStartedAt + stopTime.toNanos();
    Result result = new Result(0, 0, 0, 0, 0);
    long now = 0;
    while (now < endsAt) {
      Kind kind = KINDS[random.nextInt(KINDS.length)];
      long takesNanos = kind.sampleNanos(random);
      boolean late = now > acceptingUntil;
      if (now < stopStartedAt) {
        times.observed(kind.route(), Duration.ofNanos(takesNanos), now);
      } else {
        takesNanos *= 1 + random.nextDouble() * (SLOWDOWN_DURING_STOP - 1);
        takesNanos *= late ? lateFactor : 1;
        long deadline = now + kind.deadline().toNanos();
        if (!admission.admits(now, now, deadline, times.recent(kind.route(), now))) {
          result = result.plus(new Result(0, 1, 0, 0, 0));
        } else if (now + takesNanos <= endsAt || deadline <= endsAt) {
          result = result.plus(new Result(1, 0, 0, 0, late ? 1 : 0));
        } else {
          result = result.plus(new Result(0, 0, 1, late ? 1 : 0, 0));
        }
      }
      double perSecond = late ? LATE_REQUESTS_PER_SECOND : REQUESTS_PER_SECOND;
      now += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / perSecond);
    }
    return result;
  }

  private static StopAdmission endingAfter(Duration stopTime) {
    return StopAdmission.endingAt(
        BEFORE_STOP.plus(ACCEPTING).toNanos(), BEFORE_STOP.plus(stopTime).toNanos());
  }

  @ParameterizedTest(name = "{0} s")
  @ValueSource(ints = {3, 8, 30})
  void noLateRequestIsCutOffAndThoseThatFitAreAnswered(int seconds) {
    Duration stopTime = Duration.ofSeconds(seconds);
    Result result = replay(stopTime, endingAfter(stopTime));

    assertThat(result.lateCutOff()).isZero();
    assertThat(result.lateAnswered()).isPositive();
    assertThat(replay(stopTime, StopAdmission.running()).lateCutOff()).isPositive();
  }

  /** Guards against requests that are cut off since recent answers were short. */
  @ParameterizedTest(name = "{0} s")
  @ValueSource(ints = {3, 8, 30})
  void noLateRequestIsCutOffIfItTakesLongerThanAllRecentOnes(int seconds) {
    Duration stopTime = Duration.ofSeconds(seconds);

    assertThat(replay(stopTime, LATE_FACTOR, endingAfter(stopTime)).lateCutOff()).isZero();
    assertThat(replay(stopTime, LATE_FACTOR, StopAdmission.running()).lateCutOff()).isPositive();
  }

  @ParameterizedTest(name = "{0} s")
  @ValueSource(ints = {3, 8, 30})
  void fewerRequestsAreLostThanIfAllAreRefusedOrAllAreAdmitted(int seconds) {
    Duration stopTime = Duration.ofSeconds(seconds);
    Result result = replay(stopTime, endingAfter(stopTime));

    assertThat(result.lost()).isLessThan(replay(stopTime, StopAdmission.refusingAll()).lost());
    assertThat(result.lost()).isLessThan(replay(stopTime, StopAdmission.running()).lost());
  }
}
