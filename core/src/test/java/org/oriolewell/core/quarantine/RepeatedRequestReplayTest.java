package org.oriolewell.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Holds the bounds on a repeated request that crashes engines against replays. */
class RepeatedRequestReplayTest {
  @ParameterizedTest
  @CsvSource({
    "5, 8, 0, 1",
    "5, 8, 0.05, 2",
    "5, 3, 0.05, 3",
    "5, 8, 0.3, 4",
    "33, 40, 0.05, 5",
    "33, 40, 0.3, 6",
    "380, 740, 0.05, 7"
  })
  void repeatedRequestIsHeldBackEverywhereAndNoOtherSubjectIs(
      int gateways, int engineCount, double outageShare, long seed) {
    CrashReplay replay = new CrashReplay(gateways, engineCount, outageShare, seed, true);
    replay.run();

    assertThat(replay.fatalCrashCount()).isGreaterThanOrEqualTo(3);
    assertThat(replay.sendsAfterContact(3))
        .as("%d crashes", replay.fatalCrashCount())
        .isLessThanOrEqualTo(3);
    assertThat(replay.innocentsHeldBack()).isEmpty();
  }
}
