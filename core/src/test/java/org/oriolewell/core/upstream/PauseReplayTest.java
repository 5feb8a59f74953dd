package org.oriolewell.core.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oriolewell.core.roster.Ipv4SocketAddress;
import org.oriolewell.core.roster.UpstreamInstance;

/**
 * Guards against gateways that send to an upstream during the pause that it has asked for, or all
 * at once after it: replays of one upstream and many gateways, each with its own records.
 */
class PauseReplayTest {
  private static final long STEP_NANOS = Duration.ofMillis(1).toNanos();
  private static final long PAUSE_END = Duration.ofMillis(2500).toNanos();
  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  @ParameterizedTest
  @CsvSource({"1,6", "5,1", "5,64", "33,6", "33,64", "380,1", "380,8", "380,500"})
  void noArrivalInThePauseAndNoMoreThanTheSlotsInTheSecondAfterIt(int gateways, int slots) {
    UpstreamInstance upstream =
        new UpstreamInstance(
            "u", 9, "s", Ipv4SocketAddress.parse("127.0.0.1:1"), "z", slots, false);
    List<String> names = IntStream.range(0, gateways).mapToObj(i -> "g" + i).toList();
    Random random = new Random(gateways * 1000L + slots);
    List<UpstreamRecords> records = new ArrayList<>();
    for (String name : names) {
      long statedAt = random.nextLong(SECOND);
      UpstreamStatement pause =
          new UpstreamStatement(
              OptionalDouble.empty(),
              false,
              Optional.of(Duration.ofNanos(PAUSE_END - statedAt)),
              Optional.empty(),
              List.of());
      List<String> others = names.stream().filter(other -> !other.equals(name)).toList();
      ResumeTurn turn = ResumeTurn.of(Incarnation.of(upstream), slots, name, others);
      UpstreamRecords own = UpstreamRecords.create();
      own.stated(upstream, pause, turn, statedAt);
      records.add(own);
    }

    // Each gateway has a request at each step, far more than the upstream can take.
    int inPause = 0;
    int inSecondAfter = 0;
    int openGateways = 0;
    for (long now = SECOND; now < PAUSE_END + 3 * SECOND; now += STEP_NANOS) {
      openGateways = 0;
      for (UpstreamRecords own : records) {
        if (own.blockedFor(upstream, now).isZero()) {
          own.sent(upstream);
          openGateways++;
          inPause += now < PAUSE_END ? 1 : 0;
          inSecondAfter += now >= PAUSE_END && now < PAUSE_END + SECOND ? 1 : 0;
        }
      }
    }

    assertThat(inPause).isZero();
    assertThat(inSecondAfter).isBetween(Math.max(1, slots * 9 / 10), slots);
    assertThat(openGateways).as("gateways that send without a bound").isEqualTo(gateways);
  }
}
