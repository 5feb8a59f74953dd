package org.oriolewell.agent;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.call.ShardAction.Verdict;
import org.oriolewell.runtime.wire.Message.Outcome;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/** Translates a shard's verdicts into refusals and outcomes of the wire protocol. */
final class Verdicts {
  private static final Duration RETRY_AT_OWNER_DELAY = Duration.ofMillis(100);

  private Verdicts() {}

  /**
   * Returns the refusal of a call that got a verdict.
   *
   * @param upstreamFailure why the upstream gave no answer; null if this process did not run the
   *     call
   * @param otherOwner process id and address of the shard's owner; empty if it isn't known
   * @param storeUnavailable whether the key-value service does not answer
   */
  static Refusal refusal(
      Verdict verdict,
      @Nullable UpstreamFailure upstreamFailure,
      String otherOwner,
      boolean storeUnavailable) {
    return switch (verdict) {
      case ANSWERED, ANSWERED_WITHOUT_OUTPUT ->
          new Refusal(
              RefusalKind.OUTCOME_UNKNOWN,
              Outcome.ANSWERED,
              "the call ran and was answered; its output is no longer kept",
              Duration.ZERO);
      case UNKNOWN -> unknownOutcome(upstreamFailure);
      case NOT_RUN ->
          upstreamFailure == null
              ? Refusal.notRun(
                  RefusalKind.UPSTREAM_FAILED, "the upstream refused the call before it ran")
              : Refusal.of(upstreamFailure);
      case SETTLED_NOT_RUN ->
          Refusal.notRun(
              RefusalKind.CANCELED, "the key was settled as not run; send a new key to run it");
      case NOT_OWNER -> notOwner(otherOwner, storeUnavailable);
      case KEY_CONFLICT ->
          Refusal.notRun(
              RefusalKind.KEY_CONFLICT, "the key was used with another body; send a new key");
      case KEY_TOO_OLD ->
          Refusal.unknown(
              RefusalKind.KEY_TIME,
              "the key is older than outcomes are kept; settle it in the service's own records");
      case KEY_IN_FUTURE ->
          Refusal.notRun(
              RefusalKind.KEY_TIME, "the key's time is in the future; correct the clock");
      case STOPPING ->
          Refusal.notRun(RefusalKind.STOPPING, "this agent is draining; use another upstream");
      case DENIED -> Refusal.notRun(RefusalKind.CANCELED, "the dialer denied the call");
    };
  }

  private static Refusal unknownOutcome(@Nullable UpstreamFailure upstreamFailure) {
    if (upstreamFailure == null) {
      return Refusal.unknown(
          RefusalKind.OUTCOME_UNKNOWN,
          "an earlier owner of the shard may have run the key; it never runs again");
    }
    return upstreamFailure.invalid()
        ? Refusal.of(upstreamFailure)
        : Refusal.unknown(RefusalKind.OUTCOME_UNKNOWN, upstreamFailure.detail());
  }

  private static Refusal notOwner(String otherOwner, boolean storeUnavailable) {
    if (otherOwner.isEmpty() && storeUnavailable) {
      return Refusal.notRun(
          RefusalKind.STORE_UNAVAILABLE,
          "the shard's owner cannot be found, as the key-value service does not answer");
    }
    return new Refusal(
        RefusalKind.NOT_OWNER,
        Outcome.NOT_RUN,
        otherOwner.isEmpty() ? "another process owns the shard" : "the owner is " + otherOwner,
        RETRY_AT_OWNER_DELAY);
  }

  /** Returns the outcome that a SETTLED message reports for a verdict on a key. */
  static Outcome outcome(Verdict verdict) {
    return switch (verdict) {
      case ANSWERED, ANSWERED_WITHOUT_OUTPUT -> Outcome.ANSWERED;
      case SETTLED_NOT_RUN -> Outcome.NOT_RUN;
      // A key whose call is refused now may still run later, here or at another owner.
      default -> Outcome.UNKNOWN;
    };
  }
}
