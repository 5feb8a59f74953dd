package org.oriolewell.agent;

import java.time.Duration;
import org.oriolewell.runtime.wire.Message.Outcome;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/**
 * Why a call has no answer.
 *
 * @param kind reason
 * @param outcome what is known about whether the call ran
 * @param detail what happened, with the remedy
 * @param retryAfter time after which a retry may help; zero if unknown
 */
record Refusal(RefusalKind kind, Outcome outcome, String detail, Duration retryAfter) {
  /** Returns a refusal of a call that has not run and will not. */
  static Refusal notRun(RefusalKind kind, String detail) {
    return new Refusal(kind, Outcome.NOT_RUN, detail, Duration.ZERO);
  }

  /** Returns a refusal of a call that may have run. */
  static Refusal unknown(RefusalKind kind, String detail) {
    return new Refusal(kind, Outcome.UNKNOWN, detail, Duration.ZERO);
  }

  /** Returns the refusal of a call that the upstream failed. */
  static Refusal of(UpstreamFailure failure) {
    return new Refusal(
        RefusalKind.UPSTREAM_FAILED, failure.outcome(), failure.detail(), Duration.ZERO);
  }
}
