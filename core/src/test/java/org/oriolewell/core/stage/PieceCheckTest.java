package org.oriolewell.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.route.StageSpec;
import org.oriolewell.core.stage.PieceCheck.Refusal;

/** Checks which numbers of pieces are refused. */
class PieceCheckTest {
  private static final int MAX_PIECES = 10;

  private static final List<StageSpec> STAGES =
      List.of(
          new StageSpec(0, "encode", List.of(), 8_000),
          new StageSpec(1, "retrieve", List.of(), 60_000));

  private final PieceCheck check = PieceCheck.of(MAX_PIECES);

  private String detail(List<StageSpec> stages, Integer... pieces) {
    return check.refusal(stages, List.of(pieces)).map(Refusal::detail).orElse("");
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
}
