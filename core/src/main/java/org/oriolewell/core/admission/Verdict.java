package org.oriolewell.core.admission;

/**
 * Decision of an {@link AdmissionPolicy} about one call, which the agent must carry out.
 *
 * @param <T> type by which the agent identifies calls
 */
public sealed interface Verdict<T> {
  /** Why a call is refused. */
  enum Reason {
    /** The queue is full. */
    OVERLOADED,
    /** The call can't finish in its remaining time. */
    DEADLINE_UNREACHABLE
  }

  /** Returns the call to start or to refuse. */
  T call();

  /**
   * Start the call at the upstream.
   *
   * @param <T> type by which the agent identifies calls
   * @param call call to start
   */
  record Start<T>(T call) implements Verdict<T> {}

  /**
   * Refuse the call; it has not run.
   *
   * @param <T> type by which the agent identifies calls
   * @param call call to refuse
   * @param reason why the call is refused
   * @param retryAfterNanos time after which a new call may be accepted, in nanoseconds
   */
  record Refuse<T>(T call, Reason reason, long retryAfterNanos) implements Verdict<T> {}
}
