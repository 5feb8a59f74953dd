package org.oriolewell.core.stage;

import java.util.List;
import java.util.Optional;
import org.oriolewell.core.route.StageSpec;

/**
 * Checks the numbers of pieces that a caller states for the stages of a route, before anything is
 * created or asked for by them.
 */
public final class PieceCheck {
  /**
   * Why a request can't be served as stated.
   *
   * @param reason one of a few reasons, for logs and metrics
   * @param detail sentence for the caller, which names the remedy
   */
  public record Refusal(String reason, String detail) {}

  private final int maxPieces;

  private PieceCheck(int maxPieces) {
    this.maxPieces = maxPieces;
  }

  /**
   * Returns a check.
   *
   * @param maxPieces most pieces of all stages of a request together
   */
  public static PieceCheck of(int maxPieces) {
    return new PieceCheck(maxPieces);
  }

  /**
   * Returns why a request can't be served; empty if it can.
   *
   * @param stages stages of the route, by index
   * @param pieces number of pieces of each stage, by index, none negative; empty if not stated
   * @param pieceKey key of the pieces that read no other stage; empty if not stated
   */
  public Optional<Refusal> refusal(List<StageSpec> stages, List<Integer> pieces, String pieceKey) {
    if (pieces.isEmpty()) {
      return Optional.empty();
    }
    if (pieces.size() != stages.size()) {
      return Optional.of(
          new Refusal(
              "piece counts do not fit the route's stages",
              "the request has numbers of pieces for "
                  + pieces.size()
                  + " stages, its route has "
                  + stages.size()
                  + " stages; send one number for each stage"));
    }
    long sum = pieces.stream().mapToLong(Integer::longValue).sum();
    if (sum > maxPieces) {
      return Optional.of(
          new Refusal(
              "more pieces than a request may have",
              "the stages have "
                  + sum
                  + " pieces, at most "
                  + maxPieces
                  + " are allowed;"
                  + " split the request"));
    }
    return stages.stream()
        .filter(stage -> pieces.get(stage.index()) > 0)
        .flatMap(stage -> sourceRefusal(stage, pieces, pieceKey).stream())
        .findFirst();
  }

  /** Returns a refusal if the pieces of a stage could be asked for with neither key nor inputs. */
  private static Optional<Refusal> sourceRefusal(
      StageSpec stage, List<Integer> pieces, String pieceKey) {
    if (stage.inputStages().isEmpty()) {
      return pieceKey.isEmpty()
          ? Optional.of(
              new Refusal(
                  "pieces without a piece key",
                  "stage "
                      + stage.index()
                      + " reads the piece key, which the request lacks; state"
                      + " one"))
          : Optional.empty();
    }
    return stage.inputStages().stream().allMatch(input -> pieces.get(input) == 0)
        ? Optional.of(
            new Refusal(
                "a stage that reads only omitted ones",
                "stage "
                    + stage.index()
                    + " reads only the stages "
                    + stage.inputStages()
                    + ", which the request omits; omit it as well, or state pieces for them"))
        : Optional.empty();
  }
}
