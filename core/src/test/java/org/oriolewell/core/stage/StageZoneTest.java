package org.oriolewell.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against stages that run far from the results that they read. */
class StageZoneTest {
  /** Sizes of a retrieval chain as the operators' sheet states them. */
  private static final long PHOTO_BYTES = 60_000;

  private static final int PHOTO_PIECES = 6;
  private static final int MEMBER_PIECES = 16;
  private static final long MEMBER_BYTES = 6_000;

  @Test
  void stageOfManyPiecesFollowsItsInputsNotItsReader() {
    Map<String, Long> read = Map.of("a", PHOTO_PIECES * PHOTO_BYTES * MEMBER_PIECES);

    assertThat(StageZone.choose(read, "b", MEMBER_PIECES * MEMBER_BYTES)).isEqualTo("a");
  }

  @Test
  void largeResultsFollowTheirReader() {
    assertThat(StageZone.choose(Map.of(), "b", 3_000_000)).isEqualTo("b");
  }

  @Test
  void smallTransfersLeaveTheZoneOpen() {
    assertThat(StageZone.choose(Map.of("a", 48_000L), "", 360_000)).isEmpty();
  }

  /**
   * Replays the second and third stage of 1,000 requests whose upstreams are free in any zone. The
   * plain way keeps both near the engine; half of the second stages find no free upstream there.
   */
  @Test
  void chainMovesFewerBytesThanNearTheReader() {
    SplittableRandom random = new SplittableRandom(11);
    long plain = 0;
    long chosen = 0;
    for (int i = 0; i < 1000; i++) {
      String engine = random.nextBoolean() ? "a" : "b";
      String maker = random.nextBoolean() ? "a" : "b";
      Map<String, Long> read = new HashMap<>();
      read.put(maker, PHOTO_PIECES * PHOTO_BYTES * MEMBER_PIECES);
      plain += crossing(read, engine, engine);
      chosen +=
          crossing(read, engine, StageZone.choose(read, engine, MEMBER_PIECES * MEMBER_BYTES));
    }
    assertThat(chosen).isLessThan(plain / 10);
  }

  private static long crossing(Map<String, Long> read, String engine, String zone) {
    long bytes = zone.equals(engine) ? 0 : MEMBER_PIECES * MEMBER_BYTES;
    for (Map.Entry<String, Long> entry : read.entrySet()) {
      bytes += entry.getKey().equals(zone) ? 0 : entry.getValue();
    }
    return bytes;
  }
}
