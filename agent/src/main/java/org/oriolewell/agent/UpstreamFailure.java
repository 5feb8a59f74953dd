package org.oriolewell.agent;

import java.net.ConnectException;
import java.net.SocketTimeoutException;
import org.oriolewell.runtime.wire.Message.Outcome;

/**
 * Why an upstream gave no answer.
 *
 * @param outcome {@link Outcome#NOT_RUN} only if the call can't have run and never will
 * @param invalid whether the upstream did answer, but against its protocol
 * @param detail what happened, with the remedy
 */
record UpstreamFailure(Outcome outcome, boolean invalid, String detail) {
  /** Returns the failure of a call whose HTTP exchange failed. */
  static UpstreamFailure of(Throwable cause) {
    if (cause instanceof ConnectException || cause instanceof SocketTimeoutException) {
      // Both are raised only while connecting, so no byte of the request was sent.
      return new UpstreamFailure(
          Outcome.NOT_RUN, false, "the upstream does not accept connections; check it: " + cause);
    }
    return new UpstreamFailure(
        Outcome.UNKNOWN, false, "the upstream ended the call without an answer: " + cause);
  }

  /** Returns the failure of a call that was answered with a status that is not an answer. */
  static UpstreamFailure ofStatus(int status, boolean notExecuted) {
    return notExecuted
        ? new UpstreamFailure(
            Outcome.NOT_RUN, false, "the upstream refused the call before it ran, status " + status)
        : new UpstreamFailure(Outcome.UNKNOWN, false, "the upstream failed with status " + status);
  }

  /** Returns the failure of a call whose answer breaks the upstream's protocol. */
  static UpstreamFailure invalid(String problem) {
    return new UpstreamFailure(
        Outcome.UNKNOWN, true, "the upstream's answer is invalid: " + problem);
  }
}
