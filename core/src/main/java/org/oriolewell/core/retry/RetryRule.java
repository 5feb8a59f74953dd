package org.oriolewell.core.retry;

/** Decides from an attempt's outcome whether another attempt is allowed. */
@FunctionalInterface
public interface RetryRule {
  /**
   * The rule in use. A non-idempotent call is tried again only if it certainly did not run; {@code
   * UNKNOWN} and {@code FAILED} of such a call never are.
   */
  RetryRule STANDARD =
      (outcome, idempotent) ->
          switch (outcome) {
            case NOT_SENT, OVERLOADED, MOVED -> true;
            case FAILED, UNKNOWN -> idempotent;
            case ANSWERED, DEADLINE, INVALID -> false;
          };

  /**
   * Returns whether another attempt is allowed.
   *
   * @param outcome how the attempt ended
   * @param idempotent whether the call may run more than once
   */
  boolean mayRetry(AttemptOutcome outcome, boolean idempotent);
}
