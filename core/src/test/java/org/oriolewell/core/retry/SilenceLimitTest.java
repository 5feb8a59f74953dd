package org.oriolewell.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oriolewell.core.route.RequestKind;
import org.oriolewell.core.route.Route;

class SilenceLimitTest {
  private static final Duration TARGET = Duration.ofMillis(1300);
  private static final Duration EVENT_GAP = Duration.ofMillis(250);
  private static final Duration TIMEOUT = Duration.ofSeconds(6);

  /** The engine emits an event for each of its streams in this interval. */
  private static final long EVENT_INTERVAL_MILLIS = 40;

  private static final int STREAMS = 30;

  private static Route route(
      RequestKind kind, boolean resumable, Duration timeout, int maxAttempts) {
    return new Route(
        "r",
        "h.example",
        "/r/",
        kind,
        timeout,
        TARGET,
        1,
        maxAttempts,
        List.of(new Route.Target("engine", 1)),
        List.of(),
        false,
        resumable,
        EVENT_GAP);
  }

  /** Half of the target and two event gaps: the time after which a stream would begin late. */
  private static Duration plainLimit(Route route) {
    return route.latencyTarget().dividedBy(2).plus(route.eventGapTarget().multipliedBy(2));
  }

  /** Returns how many of the engine's streams are replaced, each at another phase of its events. */
  private static long replacedStreams(Duration pause, Duration limit) {
    return IntStream.range(0, STREAMS)
        .mapToLong(stream -> pause.toMillis() + stream * EVENT_INTERVAL_MILLIS / STREAMS)
        .filter(silentMillis -> silentMillis > limit.toMillis())
        .count();
  }

  @ParameterizedTest(name = "pause of {0} ms")
  @CsvSource({"1000, 0, 0", "1500, 30, 0", "3000, 30, 30"})
  void streamsOfAnEngineThatPausesAreReplacedOnlyIfThePauseIsLong(
      long pauseMillis, long replacedByPlainLimit, long replaced) {
    Route route = route(RequestKind.STREAMING, true, TIMEOUT, 2);
    Duration pause = Duration.ofMillis(pauseMillis);

    assertThat(replacedStreams(pause, plainLimit(route))).isEqualTo(replacedByPlainLimit);
    assertThat(replacedStreams(pause, SilenceLimit.of(route, 1).orElseThrow())).isEqualTo(replaced);
  }

  @Test
  void shortTimeoutLeavesHalfOfItForTheNextAttempt() {
    Duration timeout = Duration.ofSeconds(3);

    assertThat(SilenceLimit.of(route(RequestKind.STREAMING, true, timeout, 2), 1))
        .hasValue(Duration.ofMillis(1500));
  }

  @Test
  void idempotentRequestIsSentAgainWhenItsAnswerWouldBeLate() {
    assertThat(SilenceLimit.of(route(RequestKind.IDEMPOTENT, false, TIMEOUT, 2), 1))
        .hasValue(TARGET);
  }

  @Test
  void requestThatMustNotBeRepeatedHasNoLimit() {
    assertThat(
            List.of(
                SilenceLimit.of(route(RequestKind.NON_IDEMPOTENT, false, TIMEOUT, 2), 1),
                SilenceLimit.of(route(RequestKind.STREAMING, false, TIMEOUT, 2), 1),
                SilenceLimit.of(route(RequestKind.STREAMING, true, TIMEOUT, 2), 2)))
        .containsOnly(Optional.empty());
  }
}
