package org.oriolewell.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.route.StageSpec;
import org.oriolewell.core.stage.PieceCheck.Refusal;

/** Checks which numbers of pieces are refused. */
class PieceCheckTest {
  private static final int MAX_PIECES = 10;
  private static final String KEY = "7c1e";

  private static final List<StageSpec> STAGES =
      List.of(
          new StageSpec(0, "encode", List.of(), 8_000),
          new StageSpec(1, "retrieve", List.of(), 60_000));

  /** A chain of three stages, and one that reads its second and a stage of its own. */
  private static final List<StageSpec> GRAPH =
      List.of(
          new StageSpec(0, "encode", List.of(), 8_000),
          new StageSpec(1, "retrieve", List.of(0), 60_000),
          new StageSpec(2, "rerank", List.of(1), 6_000),
          new StageSpec(3, "encode", List.of(), 8_000),
          new StageSpec(4, "rerank", List.of(1, 3), 6_000));

  private final PieceCheck check = PieceCheck.of(MAX_PIECES);

  private String detail(List<StageSpec> stages, Integer... pieces) {
    return check.refusal(stages, List.of(pieces), KEY).map(Refusal::detail).orElse("");
  }

  @Test
  void requestMayHaveTheMostPiecesInAllStagesTogether() {
    assertThat(detail(STAGES, MAX_PIECES - 3, 3)).isEmpty();
    assertThat(detail(STAGES, MAX_PIECES - 3, 4))
        .isEqualTo("the stages have 11 pieces, at most 10 are allowed; split the request");
  }

  @Test
  void sumBeyondTheRangeOfIntegersIsTooMuch() {
    assertThat(detail(STAGES, Integer.MAX_VALUE, Integer.MAX_VALUE)).contains("4294967294");
  }

  @Test
  void eachStageNeedsNumberUnlessNoneIsStated() {
    assertThat(detail(STAGES)).isEmpty();
    assertThat(detail(STAGES, 1))
        .isEqualTo(
            "the request has numbers of pieces for 1 stages, its route has 2 stages;"
                + " send one number for each stage");
    assertThat(detail(List.of(), 1)).contains("its route has 0 stages");
  }

  @Test
  void stageThatReadsOnlyOmittedStagesIsRefused() {
    assertThat(detail(GRAPH, 1, 0, 2, 0, 0))
        .isEqualTo(
            "stage 2 reads only the stages [1], which the request omits; omit it as well, or state"
                + " pieces for them");
    assertThat(detail(GRAPH, 0, 1, 0, 0, 0)).startsWith("stage 1 reads only the stages [0]");
    assertThat(detail(GRAPH, 1, 0, 0, 0, 1)).startsWith("stage 4 reads only the stages [1, 3]");
  }

  @Test
  void stageThatReadsOneOfItsStagesIsAccepted() {
    assertThat(detail(GRAPH, 0, 0, 0, 1, 1)).isEmpty();
    assertThat(detail(GRAPH, 1, 1, 0, 0, 1)).isEmpty();
    assertThat(detail(GRAPH, 0, 0, 0, 0, 0)).isEmpty();
  }

  @Test
  void piecesThatReadTheKeyNeedOne() {
    assertThat(check.refusal(GRAPH, List.of(1, 1, 1, 0, 0), "").map(Refusal::reason))
        .contains("pieces without a piece key");
    assertThat(check.refusal(GRAPH, List.of(0, 0, 0, 0, 0), "")).isEmpty();
  }

  /** Stages of a random acyclic graph, each of which reads some of those before it. */
  @Provide
  Arbitrary<List<StageSpec>> graphs() {
    return Arbitraries.integers()
        .between(0, 255)
        .list()
        .ofMinSize(1)
        .ofMaxSize(7)
        .map(
            masks ->
                IntStream.range(0, masks.size())
                    .mapToObj(
                        index ->
                            new StageSpec(
                                index,
                                "s" + index,
                                IntStream.range(0, index)
                                    .filter(input -> (masks.get(index) >> input & 1) == 1)
                                    .boxed()
                                    .toList(),
                                1000))
                    .toList());
  }

  /**
   * Runs each accepted request to its end: each stage that starts reads the key, or the results of
   * all pieces of the stages before it, of which there is at least one.
   */
  @Property(tries = 2000, seed = "20261207")
  void acceptedRequestAsksForNoPieceWithoutKeyOrInputs(
      @ForAll("graphs") List<StageSpec> stages,
      @ForAll @Size(7) List<@IntRange(max = 2) Integer> counts) {
    List<Integer> pieces = counts.subList(0, stages.size());
    PieceCheck largeCheck = PieceCheck.of(1000);
    Assume.that(largeCheck.refusal(stages, pieces, KEY).isEmpty());
    StageProgress progress =
        StageProgress.of(stages, pieces.stream().mapToInt(Integer::intValue).toArray());
    for (int step = 0; step < stages.size() && !progress.allDone(); step++) {
      for (StageSpec stage : progress.startReadyStages((index, offset) -> 0, 0)) {
        List<String> expected =
            stage.inputStages().stream()
                .flatMap(input -> handles(input, pieces.get(input)).stream())
                .toList();
        assertThat(progress.inputHandles(stage)).isEqualTo(expected);
        assertThat(expected.isEmpty()).isEqualTo(stage.inputStages().isEmpty());
        handles(stage.index(), pieces.get(stage.index()))
            .forEach(
                handle ->
                    progress.recordResult(
                        stage.index(), Integer.parseInt(handle.split("/")[1]), handle));
      }
    }
    assertThat(progress.allDone()).isTrue();
  }

  private static List<String> handles(int stage, int pieces) {
    return IntStream.range(0, pieces).mapToObj(piece -> stage + "/" + piece).toList();
  }
}
