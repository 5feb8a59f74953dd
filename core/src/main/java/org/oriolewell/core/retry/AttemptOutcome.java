package org.oriolewell.core.retry;

/** Outcome of one attempt of a pipeline stage's call, as far as a retry depends on it. */
public enum AttemptOutcome {
  /** The answer of the upstream arrived. */
  ANSWERED,
  /** No connection to the agent could be opened, or it never admitted the call; it did not run. */
  NOT_SENT,
  /**
   * The agent refused the call because it is overloaded, or because its queue is too long to finish
   * the call in time; the call did not run. Another agent's queue may be shorter.
   */
  OVERLOADED,
  /** The agent is draining, or another agent owns the key's shard; the call did not run. */
  MOVED,
  /** The time left until the deadline is too short for any upstream to run the call. */
  DEADLINE,
  /** The upstream failed before or while it ran the call. */
  FAILED,
  /** It is not known whether the call ran. */
  UNKNOWN,
  /** The call is malformed; every agent would refuse it. */
  INVALID
}
