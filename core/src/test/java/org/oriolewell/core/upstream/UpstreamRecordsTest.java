package org.oriolewell.core.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.roster.Ipv4SocketAddress;
import org.oriolewell.core.roster.UpstreamInstance;

/** Guards against statements that are lost, outlive their upstream, or bind its next start. */
class UpstreamRecordsTest {
  private static final UpstreamStatement LEAVING =
      new UpstreamStatement(
          OptionalDouble.empty(), true, Optional.empty(), Optional.empty(), List.of());

  private final UpstreamRecords records = UpstreamRecords.create();

  private static UpstreamInstance upstream(String id, long startedMillis) {
    return new UpstreamInstance(
        id, startedMillis, "s", Ipv4SocketAddress.parse("127.0.0.1:1"), "z", 4, false);
  }

  private static UpstreamStatement pause(double seconds, String... problems) {
    return new UpstreamStatement(
        OptionalDouble.empty(),
        false,
        Optional.of(Duration.ofMillis((long) (seconds * 1000))),
        Optional.empty(),
        List.of(problems));
  }

  private static long seconds(double seconds) {
    return (long) (seconds * 1e9);
  }

  private UpstreamRecords.Change stated(UpstreamInstance upstream, UpstreamStatement s, long now) {
    return records.stated(upstream, s, ResumeTurn.alone(4), now);
  }

  @Test
  void leavingHoldsForItsIncarnationWhateverTheStoreLists() {
    assertThat(stated(upstream("a", 7), LEAVING, 0).leaving()).isTrue();
    assertThat(stated(upstream("a", 7), LEAVING, 1).leaving()).isFalse();
    stated(upstream("b", 0), LEAVING, 0);
    stated(upstream("a", 7), UpstreamStatement.NONE, 2);
    records.forget(incarnation -> false, seconds(3600));

    assertThat(records.leaving(upstream("a", 7))).isTrue();
    assertThat(records.leaving(upstream("a", 8))).isFalse();
    assertThat(records.leaving(upstream("b", 0))).as("no start time stated").isFalse();
  }

  @Test
  void unlistedIncarnationsAreBoundedAndTheOldestDropped() {
    for (int i = 0; i < UpstreamRecords.MAX_UNLISTED + 10; i++) {
      stated(upstream("u" + i, 1), LEAVING, i);
    }
    records.forget(incarnation -> incarnation.id().equals("u0"), 0);

    assertThat(records.size()).isEqualTo(UpstreamRecords.MAX_UNLISTED + 1);
    assertThat(records.leaving(upstream("u0", 1))).isTrue();
    assertThat(records.leaving(upstream("u1", 1))).isFalse();
    assertThat(records.leaving(upstream("u11", 1))).isTrue();
  }

  @Test
  void pauseHoldsUntilItsEndAndIsNotMadeShorter() {
    UpstreamInstance upstream = upstream("a", 7);
    assertThat(stated(upstream, pause(2), 0).paused()).isTrue();
    assertThat(stated(upstream, pause(0.5), seconds(1)).paused()).isFalse();

    assertThat(records.blockedFor(upstream, seconds(0.5))).isEqualTo(Duration.ofMillis(1500));
    assertThat(records.paused(upstream, seconds(2) - 1)).isTrue();
    assertThat(records.paused(upstream, seconds(2))).isFalse();
    assertThat(records.blockedFor(upstream, seconds(2))).isZero();
    assertThat(records.sent(upstream)).as("first request after the pause").isTrue();
    assertThat(records.blockedFor(upstream, seconds(2))).isEqualTo(Duration.ofMillis(250));
    records.unsent(upstream);
    assertThat(records.blockedFor(upstream, seconds(2))).as("turn given back").isZero();
    records.sent(upstream);
    assertThat(records.blockedFor(upstream("a", 8), seconds(1))).isZero();
    assertThat(stated(upstream, pause(1), seconds(2.5)).paused()).isTrue();
    assertThat(records.blockedFor(upstream, seconds(3))).isEqualTo(Duration.ofMillis(500));
  }

  @Test
  void endedPauseIsForgotten() {
    stated(upstream("a", 7), pause(2), 0);
    records.forget(incarnation -> false, seconds(2.9));
    assertThat(records.unrestricted()).isFalse();
    records.forget(incarnation -> false, seconds(3));
    assertThat(records.unrestricted()).isTrue();
    assertThat(records.size()).isZero();
  }

  @Test
  void loadIsKeptWithItsTime() {
    UpstreamInstance upstream = upstream("a", 7);
    LoadReport report = new LoadReport(1, 2, 3, OptionalInt.of(250));
    stated(
        upstream,
        new UpstreamStatement(
            OptionalDouble.empty(), false, Optional.empty(), Optional.of(report), List.of()),
        5);
    stated(upstream, LEAVING, 9);

    assertThat(records.load(upstream)).contains(new UpstreamRecords.StatedLoad(report, 5));
    assertThat(records.load(upstream("a", 8))).isEmpty();
  }

  @Test
  void oddValuesAreReportedOncePerMinute() {
    UpstreamInstance upstream = upstream("a", 7);
    assertThat(stated(upstream, pause(1, "odd"), 0).reportProblems()).isTrue();
    assertThat(stated(upstream, pause(1, "odd"), seconds(59)).reportProblems()).isFalse();
    assertThat(stated(upstream, pause(1, "odd"), seconds(61)).reportProblems()).isTrue();
  }
}
