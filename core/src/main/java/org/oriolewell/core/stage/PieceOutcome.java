package org.oriolewell.core.stage;

import org.jspecify.annotations.Nullable;

/**
 * What became of one piece.
 *
 * @param piece number of the piece
 * @param status how it ended
 * @param handle name of the result, which begins with its maker's address; null unless done
 */
public record PieceOutcome(int piece, Status status, @Nullable String handle) {

  /** How a piece ended. */
  public enum Status {
    /** The result is kept at its maker. */
    DONE,
    /** The time left ran out before the piece's turn. */
    LATE,
    /** One of its inputs no longer exists. */
    INPUT_GONE,
    /** The maker had no space for the result. */
    NO_SPACE,
    /** The maker failed. */
    FAILED
  }

  /** Returns the outcome of a piece whose result is kept. */
  public static PieceOutcome done(int piece, String handle) {
    return new PieceOutcome(piece, Status.DONE, handle);
  }

  /** Returns the outcome of a piece without a result. */
  public static PieceOutcome failed(int piece, Status status) {
    return new PieceOutcome(piece, status, null);
  }
}
