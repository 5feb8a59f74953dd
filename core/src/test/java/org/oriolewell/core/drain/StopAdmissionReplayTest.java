package org.oriolewell.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replays the requests of a process that is being stopped: two minutes of traffic, then requests
 * until the open ones are ended. During the stop answers take up to 1.5 times as long, since the
 * remaining processes are loaded more.
 */
class StopAdmissionReplayTest {
  private static final Duration BEFORE_STOP = Duration.ofMinutes(2);
  private static final double REQUESTS_PER_SECOND = 20;
  private static final double SLOWDOWN_DURING_STOP = 1.5;

  /** Kind of request; its answers take the median time, or two to three times as long in a tail. */
  private record Kind(String route, Duration median, Duration deadline) {
    private Duration sample(Random random) {
      double ratio = Math.min(3, Math.exp(0.45 * random.nextGaussian()));
      return Duration.ofNanos((long) (median.toNanos() * ratio));
    }
  }

  private static final Kind[] KINDS = {
    new Kind("record", Duration.ofMillis(90), Duration.ofSeconds(2)),
    new Kind("summary", Duration.ofMillis(700), Duration.ofSeconds(6)),
    new Kind("stream", Duration.ofMillis(1800), Duration.ofSeconds(15)),
  };

  /** How the requests that were read during a stop ended. */
  private record Result(int answered, int refused, int cutOff) {}

  private static Result replay(Duration stopTime, long seed, StopAdmission admission) {
    Random random = new Random(seed);
    AnswerTimes times = AnswerTimes.create();
    long stopStartedAt = BEFORE_STOP.toNanos();
    long endsAt = stopStartedAt + stopTime.toNanos();
    int answered = 0;
    int refused = 0;
    int cutOff = 0;
    double meanGapNanos = Duration.ofSeconds(1).toNanos() / REQUESTS_PER_SECOND;
    for (long now = 0;
        now < endsAt;
        now += (long) (-Math.log(1 - random.nextDouble()) * meanGapNanos)) {
      Kind kind = KINDS[random.nextInt(KINDS.length)];
      Duration takes = kind.sample(random);
      if (now < stopStartedAt) {
        times.observed(kind.route(), takes, now);
        continue;
      }
      takes =
          Duration.ofNanos(
              (long) (takes.toNanos() * (1 + random.nextDouble() * (SLOWDOWN_DURING_STOP - 1))));
      long deadline = now + kind.deadline().toNanos();
      if (!admission.admits(now, deadline, times.longest(kind.route(), now))) {
        refused++;
      } else if (now + takes.toNanos() <= endsAt || deadline <= endsAt) {
        answered++;
      } else {
        cutOff++;
      }
    }
    return new Result(answered, refused, cutOff);
  }

  private static StopAdmission endingAfter(Duration stopTime) {
    return StopAdmission.endingAt(BEFORE_STOP.plus(stopTime).toNanos());
  }

  private static Stream<Arguments> stops() {
    return LongStream.rangeClosed(1, 5)
        .boxed()
        .flatMap(
            seed ->
                Stream.of(3, 8, 30)
                    .map(seconds -> Arguments.of(Duration.ofSeconds(seconds), seed)));
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("stops")
  void noAdmittedRequestIsCutOff(Duration stopTime, long seed) {
    assertThat(replay(stopTime, seed, endingAfter(stopTime)).cutOff()).isZero();
    assertThat(replay(stopTime, seed, StopAdmission.running()).cutOff()).isPositive();
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("stops")
  void fewerRequestsAreRefusedThanByTheBaseline(Duration stopTime, long seed) {
    Result result = replay(stopTime, seed, endingAfter(stopTime));
    Result baseline = replay(stopTime, seed, StopAdmission.refusingAll());

    assertThat(result.refused()).isLessThan(baseline.refused());
    assertThat(result.answered()).isPositive();
    assertThat(baseline.answered()).isZero();
  }
}
