package org.oriolewell.core.retry;

/** How an attempt of a stage's call ended, as far as a retry depends on it. */
public enum AttemptOutcome {
  /** The answer arrived. */
  ANSWERED,
  /** No connection could be opened, or the call was never granted: it did not run. */
  NOT_SENT,
  /**
   * The agent refused because it is overloaded or can't finish the call in time behind its queue;
   * the call did not run. Another agent's queue may be shorter.
   */
  OVERLOADED,
  /** The agent is draining, or another agent owns the key's shard; the call did not run. */
  MOVED,
  /** The time that remains is too short for any upstream. */
  DEADLINE,
  /** The upstream failed before or while it ran the call. */
  FAILED,
  /** It is not known whether the call ran. */
  UNKNOWN,
  /** The call is wrong and would be refused again. */
  INVALID
}
