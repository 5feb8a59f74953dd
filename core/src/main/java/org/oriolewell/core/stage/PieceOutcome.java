package org.oriolewell.core.stage;

import org.jspecify.annotations.Nullable;

/**
 * The outcome of one piece of a stage: a reference to its result, or the reason why it has none.
 *
 * @param piece number of the piece in its stage, from 0
 * @param status whether the piece was processed or why it failed
 * @param handle reference to the result, beginning with the address of the upstream that stores it;
 *     null unless the status is {@code DONE}
 */
public record PieceOutcome(int piece, Status status, @Nullable String handle) {

  /** Whether a piece of a stage was processed, or why it failed. */
  public enum Status {
    /** The piece was processed; the upstream that processed it stores the result. */
    DONE,
    /** The piece was still queued when its remaining time ran out. */
    LATE,
    /** A result of an earlier stage that the piece reads no longer exists. */
    INPUT_GONE,
    /** The upstream had no space to store the result. */
    NO_SPACE,
    /** The upstream failed to process the piece. */
    FAILED
  }

  /** Returns the outcome of a piece that was processed and whose result is stored. */
  public static PieceOutcome done(int piece, String handle) {
    return new PieceOutcome(piece, Status.DONE, handle);
  }

  /** Returns the outcome of a piece that has no result, for the reason in {@code status}. */
  public static PieceOutcome failed(int piece, Status status) {
    return new PieceOutcome(piece, status, null);
  }
}
