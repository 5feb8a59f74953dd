package org.oriolewell.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Tag;
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
    replay(gateways, engineCount, outageShare, seed);
  }

  /**
   * Guards against an innocent part that is present by chance at several crashes, and whose sound
   * answers or the repeated request the decider was not told of.
   */
  @ParameterizedTest
  @Tag("known-red")
  @CsvSource({
    "5, 3, 0.3, 8",
    "33, 40, 0.05, 100",
    "5, 3, 0.3, 103",
    "33, 40, 0.05, 104",
    "33, 40, 0.05, 123",
    "5, 3, 0.3, 123",
    "33, 40, 0.05, 125",
    "5, 8, 0.05, 136",
    "33, 40, 0.05, 138",
    "5, 3, 0.3, 142",
    "33, 40, 0.05, 148",
    "5, 3, 0.3, 157"
  })
  void noPartIsHeldBackWhenItIsOftenPresentAtCrashes(
      int gateways, int engineCount, double outageShare, long seed) {
    replay(gateways, engineCount, outageShare, seed);
  }

  private static void replay(int gateways, int engineCount, double outageShare, long seed) {
    CrashReplay replay = new CrashReplay(gateways, engineCount, outageShare, seed, true);
    replay.run();

    assertThat(replay.fatalCrashCount()).isGreaterThanOrEqualTo(3);
    assertThat(replay.sendsAfterContact(3))
        .as("%d crashes", replay.fatalCrashCount())
        .isLessThanOrEqualTo(3);
    assertThat(replay.innocentsHeldBack()).isEmpty();
  }
}
