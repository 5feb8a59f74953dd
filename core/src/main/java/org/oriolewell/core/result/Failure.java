package org.oriolewell.core.result;

/**
 * The final refusal of a request.
 *
 * @param kind kind of problem
 * @param outcome what is known about whether the request ran
 * @param detail what happened, with the remedy
 * @param retryAfterMillis time after which a retry may succeed, in milliseconds; 0 if not known
 */
public record Failure(ProblemKind kind, Outcome outcome, String detail, long retryAfterMillis) {
  /** Returns the refusal of a request that did not run. */
  public static Failure notRun(ProblemKind kind, String detail) {
    return new Failure(kind, Outcome.NOT_RUN, detail, 0);
  }

  /** Returns the refusal of a request that did not run and may be retried after some time. */
  public static Failure notRun(ProblemKind kind, String detail, long retryAfterMillis) {
    return new Failure(kind, Outcome.NOT_RUN, detail, retryAfterMillis);
  }
}
