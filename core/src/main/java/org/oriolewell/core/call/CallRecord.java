package org.oriolewell.core.call;

import org.jspecify.annotations.Nullable;

/**
 * Recorded state of one non-idempotent call.
 *
 * @param state execution state of the call
 * @param keyIssuedMillis time of issue of the call's idempotency key, in milliseconds since the
 *     epoch
 * @param fingerprint hash of the request's body; a retry with the same key must have the same body
 * @param output output of an answered call; null if it isn't kept
 */
public record CallRecord(
    State state, long keyIssuedMillis, long fingerprint, byte @Nullable [] output) {
  /** Execution state of a call. The stored format uses the ordinals. */
  public enum State {
    /** The call was sent to the upstream and has no outcome yet. */
    STARTED,
    /** The call ran and the upstream answered it. */
    ANSWERED,
    /** It isn't known whether the call ran. It must never run again. */
    UNKNOWN,
    /** The call was settled as not run and must never run. */
    NOT_RUN
  }

  /** Returns a copy of this record in another state and without an output. */
  public CallRecord withState(State newState) {
    return new CallRecord(newState, keyIssuedMillis, fingerprint, null);
  }
}
