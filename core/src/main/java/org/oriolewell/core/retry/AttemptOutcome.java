package org.oriolewell.core.retry;

/** How an attempt of a stage's call ended, as far as a retry depends on it. */
public enum AttemptOutcome {
  /** The answer arrived. */
  ANSWERED,
  /** No connection could be opened, or the call was never granted: it did not run. */
  NOT_SENT,
  /** The agent refused because it is overloaded; the call did not run. */
  OVERLOADED,
  /** The agent is draining, or another agent owns the key's shard; the call did not run. */
  MOVED,
  /** The call can't finish in its remaining time; another upstream would not help. */
  DEADLINE,
  /** The upstream failed before or while it ran the call. */
  FAILED,
  /** It is not known whether the call ran. */
  UNKNOWN,
  /** The call is wrong and would be refused again. */
  INVALID
}
