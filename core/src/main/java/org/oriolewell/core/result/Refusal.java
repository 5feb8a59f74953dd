package org.oriolewell.core.result;

import org.oriolewell.core.retry.AttemptOutcome;

/**
 * An agent's refusal of a call.
 *
 * @param kind why the agent refused
 * @param outcome what the agent knows about whether the call ran
 * @param detail what went wrong; names the owner for {@link Kind#NOT_OWNER}
 * @param retryAfterMillis time after which a retry may succeed, in milliseconds; 0 if not known
 */
public record Refusal(Kind kind, Outcome outcome, String detail, long retryAfterMillis) {
  /** Why an agent refused, as in the agent protocol. */
  public enum Kind {
    /** The agent's queue is full or the workspace's share is used up. */
    OVERLOADED(ProblemKind.OVERLOADED, AttemptOutcome.OVERLOADED),
    /** The call can't finish in its remaining time. */
    DEADLINE_UNREACHABLE(ProblemKind.DEADLINE_UNREACHABLE, AttemptOutcome.OVERLOADED),
    /** The call's remaining time ran out at the agent. */
    DEADLINE_EXCEEDED(ProblemKind.DEADLINE_EXCEEDED, AttemptOutcome.DEADLINE),
    /** The agent is draining and takes no new calls. */
    STOPPING(ProblemKind.NO_UPSTREAM, AttemptOutcome.MOVED),
    /** Another agent owns the shard of the call's idempotency key. */
    NOT_OWNER(ProblemKind.NO_UPSTREAM, AttemptOutcome.MOVED),
    /** The idempotency key was used before with another body. */
    KEY_CONFLICT(ProblemKind.KEY_CONFLICT, AttemptOutcome.INVALID),
    /** The time in the idempotency key is too old or too far in the future. */
    KEY_TIME(ProblemKind.KEY_TIME, AttemptOutcome.INVALID),
    /** The execution window can't be extended, since the store doesn't answer. */
    STORE_UNAVAILABLE(ProblemKind.NO_UPSTREAM, AttemptOutcome.MOVED),
    /** The upstream failed or refused the call. */
    UPSTREAM_FAILED(ProblemKind.UPSTREAM_FAILED, AttemptOutcome.FAILED),
    /** It isn't known whether the call ran. */
    OUTCOME_UNKNOWN(ProblemKind.OUTCOME_UNKNOWN, AttemptOutcome.UNKNOWN),
    /** The entry denied or canceled the call. */
    CANCELED(ProblemKind.UPSTREAM_FAILED, AttemptOutcome.FAILED),
    /** The call is malformed or names an unknown operation. */
    INVALID(ProblemKind.UPSTREAM_FAILED, AttemptOutcome.INVALID);

    private final ProblemKind problem;
    private final AttemptOutcome attemptOutcome;

    Kind(ProblemKind problem, AttemptOutcome attemptOutcome) {
      this.problem = problem;
      this.attemptOutcome = attemptOutcome;
    }

    /** Returns the kind of problem that the caller receives for this refusal. */
    public ProblemKind problem() {
      return problem;
    }

    /** Returns the outcome of the attempt, which decides whether the call may be retried. */
    AttemptOutcome attemptOutcome() {
      return attemptOutcome;
    }
  }
}
