package org.oriolewell.core.result;

import org.oriolewell.core.retry.AttemptOutcome;

/**
 * An agent's refusal of a call.
 *
 * @param kind why the agent refused
 * @param outcome what the agent knows about whether the call ran
 * @param detail what happened; names the owner for {@link Kind#NOT_OWNER}
 * @param retryAfterMillis time after which a retry may succeed, in milliseconds; 0 if not known
 */
public record Refusal(Kind kind, Outcome outcome, String detail, long retryAfterMillis) {
  /** Why an agent refused, as in the agent protocol. */
  public enum Kind {
    /** The agent's queue is full or the workspace's share is used up. */
    OVERLOADED(ProblemKind.OVERLOADED, AttemptOutcome.OVERLOADED),
    /** The call can't finish in its remaining time. */
    DEADLINE_UNREACHABLE(ProblemKind.DEADLINE_UNREACHABLE, AttemptOutcome.OVERLOADED),
    /** The remaining time ran out. */
    DEADLINE_EXCEEDED(ProblemKind.DEADLINE_EXCEEDED, AttemptOutcome.DEADLINE),
    /** The agent is draining. */
    STOPPING(ProblemKind.NO_UPSTREAM, AttemptOutcome.MOVED),
    /** Another agent owns the shard of the call's key. */
    NOT_OWNER(ProblemKind.NO_UPSTREAM, AttemptOutcome.MOVED),
    /** The same key was used with another body. */
    KEY_CONFLICT(ProblemKind.KEY_CONFLICT, AttemptOutcome.INVALID),
    /** The key's time is too old or too far in the future. */
    KEY_TIME(ProblemKind.KEY_TIME, AttemptOutcome.INVALID),
    /** The execution window can't be extended since the store doesn't answer. */
    STORE_UNAVAILABLE(ProblemKind.NO_UPSTREAM, AttemptOutcome.MOVED),
    /** The upstream failed or refused. */
    UPSTREAM_FAILED(ProblemKind.UPSTREAM_FAILED, AttemptOutcome.FAILED),
    /** It isn't known whether the call ran. */
    OUTCOME_UNKNOWN(ProblemKind.OUTCOME_UNKNOWN, AttemptOutcome.UNKNOWN),
    /** The call was denied or canceled. */
    CANCELED(ProblemKind.UPSTREAM_FAILED, AttemptOutcome.FAILED),
    /** The call is malformed or names an unknown operation. */
    INVALID(ProblemKind.UPSTREAM_FAILED, AttemptOutcome.INVALID);

    private final ProblemKind problem;
    private final AttemptOutcome attempt;

    Kind(ProblemKind problem, AttemptOutcome attempt) {
      this.problem = problem;
      this.attempt = attempt;
    }

    /** Returns the kind under which a caller sees this refusal. */
    public ProblemKind problem() {
      return problem;
    }

    /** Returns what the refusal means for a retry. */
    AttemptOutcome attempt() {
      return attempt;
    }
  }
}
