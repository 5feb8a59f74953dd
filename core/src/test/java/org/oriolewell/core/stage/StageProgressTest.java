package org.oriolewell.core.stage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.route.StageSpec;
import org.oriolewell.core.stage.StageProgress.StageTimes;

/**
 * Checks that stages start when their inputs exist, that delayed ones start late, and all start.
 */
class StageProgressTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final StageTimes CONSTANT_STAGE_TIMES = (stage, offset) -> 300;

  /** Stages of a route: stage 0 with a large result, read by the request, and a chain of three. */
  private static final List<StageSpec> STAGES =
      List.of(
          new StageSpec(0, "encode", List.of(), 3_000_000),
          new StageSpec(1, "encode", List.of(), 8_000),
          new StageSpec(2, "retrieve", List.of(1), 60_000),
          new StageSpec(3, "rerank", List.of(2), 6_000));

  private static List<Integer> indexesOf(List<StageSpec> stages) {
    return stages.stream().map(StageSpec::index).toList();
  }

  @Test
  void stageWithLargeResultIsDelayedUntilOtherChainNeedsNoLonger() {
    StageProgress progress = StageProgress.of(STAGES, new int[] {1, 1, 1, 1});

    assertThat(indexesOf(progress.startReadyStages(CONSTANT_STAGE_TIMES, 0))).containsExactly(1);
    progress.recordResult(1, 0, "a/1");
    assertThat(indexesOf(progress.startReadyStages(CONSTANT_STAGE_TIMES, 300 * NANOS_PER_MILLI)))
        .containsExactly(2);
    assertThat(progress.nextStartMillis(CONSTANT_STAGE_TIMES, 300 * NANOS_PER_MILLI))
        .isEqualTo(300);
    assertThat(indexesOf(progress.startReadyStages(CONSTANT_STAGE_TIMES, 600 * NANOS_PER_MILLI)))
        .containsExactly(0);
  }

  @Test
  void stageReadByRequestStartsAtOnceWithoutLongerChain() {
    StageProgress progress = StageProgress.of(STAGES, new int[] {1, 0, 0, 1});

    assertThat(indexesOf(progress.startReadyStages(CONSTANT_STAGE_TIMES, 0))).containsExactly(0, 3);
    assertThat(progress.nextStartMillis(CONSTANT_STAGE_TIMES, 0)).isNegative();
  }

  @Test
  void stageWaitsForAllPiecesOfItsInputs() {
    StageProgress progress = StageProgress.of(STAGES, new int[] {0, 2, 1, 1});
    progress.startReadyStages(CONSTANT_STAGE_TIMES, 0);

    progress.recordResult(1, 0, "a/1");
    assertThat(progress.startReadyStages(CONSTANT_STAGE_TIMES, 0)).isEmpty();
    progress.recordResult(1, 1, "a/2");
    assertThat(indexesOf(progress.startReadyStages(CONSTANT_STAGE_TIMES, 0))).containsExactly(2);
    assertThat(progress.inputHandles(STAGES.get(2))).containsExactly("a/1", "a/2");
  }

  @Test
  void secondResultOfPieceIsIgnored() {
    StageProgress progress = StageProgress.of(STAGES, new int[] {0, 1, 1, 1});

    assertThat(progress.recordResult(1, 0, "a/1")).isTrue();
    assertThat(progress.recordResult(1, 0, "b/1")).isFalse();
    assertThat(progress.inputHandles(STAGES.get(2))).containsExactly("a/1");
  }

  @Test
  void resultsAreFreedOnceTheirReaderIsDone() {
    StageProgress progress = StageProgress.of(STAGES, new int[] {1, 1, 1, 1});
    progress.recordResult(1, 0, "a/1");
    assertThat(progress.takeConsumedHandles()).isEmpty();
    progress.recordResult(2, 0, "b/1");
    assertThat(progress.takeConsumedHandles()).containsExactly("a/1");
    progress.recordResult(3, 0, "c/1");
    progress.recordResult(0, 0, "d/1");

    assertThat(progress.allDone()).isTrue();
    assertThat(progress.requestInputHandles()).containsExactly("d/1", "c/1");
    assertThat(progress.takeAllHandles()).contains("b/1", "c/1", "d/1").doesNotContain("a/1");
  }

  @Test
  void pieceCountIsRequiredForEachStage() {
    assertThatThrownBy(() -> StageProgress.of(STAGES, new int[] {1}))
        .hasMessageContaining("1 stages, its route has 4");
  }

  @Test
  void remainingTimeFollowsLongestChain() {
    StageProgress progress = StageProgress.of(STAGES, new int[] {1, 1, 1, 1});

    assertThat(progress.remainingMillis(CONSTANT_STAGE_TIMES)).isEqualTo(900);
    assertThat(progress.remainingMillisAfter(1, CONSTANT_STAGE_TIMES)).isEqualTo(600);
  }
}
