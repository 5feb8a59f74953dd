package org.oriolewell.core.call;

import org.jspecify.annotations.Nullable;

/**
 * What is known about one call.
 *
 * @param state what happened
 * @param keyMillis time of issue of its key, in milliseconds since the epoch
 * @param fingerprint hash of the request's body
 * @param output output of an answered call; null if it isn't kept
 */
public record CallRecord(State state, long keyMillis, long fingerprint, byte @Nullable [] output) {
  /** What happened to a call. */
  public enum State {
    /** It was handed to the upstream and has no outcome yet. */
    STARTED,
    /** It ran and was answered. */
    ANSWERED,
    /** It isn't known whether it ran. It must never run again. */
    UNKNOWN,
    /** It was settled as not run. It must never run. */
    NOT_RUN
  }

  /** Returns the same call in another state, without output. */
  public CallRecord in(State next) {
    return new CallRecord(next, keyMillis, fingerprint, null);
  }
}
