package org.oriolewell.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks that stages run in the zone that stores their inputs if that saves much traffic. */
class StageZoneTest {
  /** Size in bytes of one result of the photo retrieval stage, which the member stage reads. */
  private static final long PHOTO_RESULT_BYTES = 60_000;

  private static final int PHOTO_STAGE_PIECES = 6;
  private static final int MEMBER_STAGE_PIECES = 16;
  private static final long MEMBER_RESULT_BYTES = 6_000;

  @Test
  void stageWithManyPiecesRunsInZoneOfItsInputs() {
    Map<String, Long> readByZone =
        Map.of("a", PHOTO_STAGE_PIECES * PHOTO_RESULT_BYTES * MEMBER_STAGE_PIECES);

    assertThat(StageZone.choose(readByZone, "b", MEMBER_STAGE_PIECES * MEMBER_RESULT_BYTES))
        .isEqualTo("a");
  }

  @Test
  void stageWithLargeResultsRunsInItsReadersZone() {
    assertThat(StageZone.choose(Map.of(), "b", 3_000_000)).isEqualTo("b");
  }

  @Test
  void noZoneIsPreferredForSmallTransfers() {
    assertThat(StageZone.choose(Map.of("a", 48_000L), "", 360_000)).isEmpty();
  }

  /**
   * Simulates the second and third stage of 1,000 requests with free upstreams in both zones. The
   * alternative without {@link StageZone} prefers the engine's zone for both stages, but half of
   * the second stages run in the other zone, since no upstream is free.
   */
  @Test
  void chosenZonesTransferFewerBytesThanEngineZone() {
    SplittableRandom random = new SplittableRandom(11);
    long bytesNearEngine = 0;
    long bytesInChosenZone = 0;
    for (int i = 0; i < 1000; i++) {
      String engineZone = random.nextBoolean() ? "a" : "b";
      String inputZone = random.nextBoolean() ? "a" : "b";
      Map<String, Long> readByZone = new HashMap<>();
      readByZone.put(inputZone, PHOTO_STAGE_PIECES * PHOTO_RESULT_BYTES * MEMBER_STAGE_PIECES);
      bytesNearEngine += bytesBetweenZones(readByZone, engineZone, engineZone);
      bytesInChosenZone +=
          bytesBetweenZones(
              readByZone,
              engineZone,
              StageZone.choose(readByZone, engineZone, MEMBER_STAGE_PIECES * MEMBER_RESULT_BYTES));
    }
    assertThat(bytesInChosenZone).isLessThan(bytesNearEngine / 10);
  }

  private static long bytesBetweenZones(
      Map<String, Long> readByZone, String engineZone, String stageZone) {
    long transferredBytes =
        stageZone.equals(engineZone) ? 0 : MEMBER_STAGE_PIECES * MEMBER_RESULT_BYTES;
    for (Map.Entry<String, Long> input : readByZone.entrySet()) {
      transferredBytes += input.getKey().equals(stageZone) ? 0 : input.getValue();
    }
    return transferredBytes;
  }
}
