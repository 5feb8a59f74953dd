package org.oriolewell.core.result;

/**
 * The final refusal of a request, as the caller receives it.
 *
 * @param kind kind of problem
 * @param outcome what is known about whether the request ran
 * @param detail what went wrong and how the caller may respond
 * @param retryAfterMillis time after which a retry may succeed, in milliseconds; 0 if not known
 */
public record Failure(ProblemKind kind, Outcome outcome, String detail, long retryAfterMillis) {
  /** Returns the refusal of a request that did not run, without a time for a retry. */
  public static Failure notRun(ProblemKind kind, String detail) {
    return new Failure(kind, Outcome.NOT_RUN, detail, 0);
  }

  /**
   * Returns the refusal of a request that did not run and may be retried after a time in
   * milliseconds.
   */
  public static Failure notRun(ProblemKind kind, String detail, long retryAfterMillis) {
    return new Failure(kind, Outcome.NOT_RUN, detail, retryAfterMillis);
  }
}
