package org.oriolewell.agent;

import java.net.ConnectException;
import java.net.SocketTimeoutException;
import org.oriolewell.runtime.wire.Message.Outcome;

/**
 * The reason why a call got no answer from the upstream.
 *
 * @param outcome {@link Outcome#NOT_RUN} if the call has not run and never will; otherwise {@link
 *     Outcome#UNKNOWN}
 * @param invalid whether the upstream sent an answer that violates its protocol
 * @param detail what happened, with the remedy
 */
record UpstreamFailure(Outcome outcome, boolean invalid, String detail) {
  /** Returns the failure of a call whose HTTP exchange failed with an exception. */
  static UpstreamFailure of(Throwable cause) {
    if (cause instanceof ConnectException || cause instanceof SocketTimeoutException) {
      // Both are thrown only while connecting, so no byte of the request was sent.
      return new UpstreamFailure(
          Outcome.NOT_RUN, false, "the upstream does not accept connections; check it: " + cause);
    }
    return new UpstreamFailure(
        Outcome.UNKNOWN, false, "the upstream ended the call without an answer: " + cause);
  }

  /**
   * Returns the failure of a call that the upstream answered with an error status.
   *
   * @param status HTTP status
   * @param notExecuted whether the status means that the call did not run
   */
  static UpstreamFailure ofStatus(int status, boolean notExecuted) {
    return notExecuted
        ? new UpstreamFailure(
            Outcome.NOT_RUN, false, "the upstream refused the call before it ran, status " + status)
        : new UpstreamFailure(Outcome.UNKNOWN, false, "the upstream failed with status " + status);
  }

  /** Returns the failure of a call whose answer violates the upstream's protocol. */
  static UpstreamFailure ofInvalidAnswer(String problem) {
    return new UpstreamFailure(
        Outcome.UNKNOWN, true, "the upstream's answer is invalid: " + problem);
  }
}
