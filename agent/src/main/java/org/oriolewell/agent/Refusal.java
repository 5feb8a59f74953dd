package org.oriolewell.agent;

import java.time.Duration;
import org.oriolewell.runtime.wire.Message.Outcome;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/**
 * The reason why a call gets no answer, as sent to the dialer.
 *
 * @param kind reason as a code of the wire protocol
 * @param outcome whether the call ran, as far as this process knows
 * @param detail what happened, with the remedy
 * @param retryAfter time after which a retry may help; zero if unknown
 */
record Refusal(RefusalKind kind, Outcome outcome, String detail, Duration retryAfter) {
  /** Returns a refusal of a call that has not run and never will. */
  static Refusal notRun(RefusalKind kind, String detail) {
    return new Refusal(kind, Outcome.NOT_RUN, detail, Duration.ZERO);
  }

  /** Returns a refusal of a call that may have run. */
  static Refusal unknown(RefusalKind kind, String detail) {
    return new Refusal(kind, Outcome.UNKNOWN, detail, Duration.ZERO);
  }

  /** Returns the refusal of a call that failed at the upstream. */
  static Refusal of(UpstreamFailure failure) {
    return new Refusal(
        RefusalKind.UPSTREAM_FAILED, failure.outcome(), failure.detail(), Duration.ZERO);
  }
}
