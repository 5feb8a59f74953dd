package org.oriolewell.core.retry;

/** Decides from the outcome of a call's last attempt whether the call may be retried. */
@FunctionalInterface
public interface RetryRule {
  /**
   * The default rule. A non-idempotent call is retried only if it certainly did not run, so never
   * after {@code UNKNOWN} or {@code FAILED}.
   */
  RetryRule STANDARD =
      (outcome, idempotent) ->
          switch (outcome) {
            case NOT_SENT, OVERLOADED, MOVED -> true;
            case FAILED, UNKNOWN -> idempotent;
            case ANSWERED, DEADLINE, INVALID -> false;
          };

  /**
   * Returns whether a call may be retried after an attempt.
   *
   * @param outcome outcome of the last attempt
   * @param idempotent whether the call may run more than once
   */
  boolean mayRetry(AttemptOutcome outcome, boolean idempotent);
}
