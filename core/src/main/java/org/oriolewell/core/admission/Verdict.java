package org.oriolewell.core.admission;

/**
 * What an agent must do with a call.
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

  /** Returns the call. */
  T call();

  /**
   * Start the call at the upstream.
   *
   * @param <T> type by which the agent identifies calls
   * @param call the call
   */
  record Start<T>(T call) implements Verdict<T> {}

  /**
   * Refuse the call; it has not run.
   *
   * @param <T> type by which the agent identifies calls
   * @param call the call
   * @param reason why
   * @param retryAfterNanos time after which a new call may be accepted, in nanoseconds
   */
  record Refuse<T>(T call, Reason reason, long retryAfterNanos) implements Verdict<T> {}
}
