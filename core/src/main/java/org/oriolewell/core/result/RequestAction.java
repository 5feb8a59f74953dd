package org.oriolewell.core.result;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Action that a {@link RequestMachine} asks of the code that drives it. */
public sealed interface RequestAction {
  /**
   * Choose an upstream and send a call; report {@link RequestEvent.Sent} or {@link
   * RequestEvent.NotSent}.
   *
   * @param call attempt to send
   * @param key idempotency key; null for idempotent calls
   * @param resumeFrom position in the stream of the first token to send
   * @param avoid host names of upstreams that failed in this stage, to be used only if there is no
   *     other
   * @param owner text that names the agent that owns the key's shard; null if not known
   */
  record Dispatch(
      StageCall call,
      @Nullable String key,
      long resumeFrom,
      Set<String> avoid,
      @Nullable String owner)
      implements RequestAction {
    /** Copies the set, so that later changes to the argument have no effect. */
    public Dispatch {
      avoid = Set.copyOf(avoid);
    }
  }

  /** Report {@link RequestEvent.DelayElapsed} for the next attempt after a delay. */
  record Wait(StageCall call, Duration delay) implements RequestAction {}

  /** Permit the agent to run a non-idempotent call. */
  record Grant(StageCall call) implements RequestAction {}

  /** Forbid the agent to run a non-idempotent call. */
  record Deny(StageCall call) implements RequestAction {}

  /** Tell the agent to cancel a call, since its answer is no longer wanted. */
  record Cancel(StageCall call) implements RequestAction {}

  /**
   * Send received tokens on to the caller or the next stage. There is one such action for each
   * accepted frame; it is empty if all its tokens were received before.
   *
   * @param call attempt that produced the tokens
   * @param position position in the stream of the first token
   * @param items texts of the tokens
   */
  record Emit(StageCall call, long position, List<String> items) implements RequestAction {}

  /** Store the output of a call as the result of its stage. */
  record Accept(StageCall call) implements RequestAction {}

  /**
   * Answer the caller with the output of the last stage.
   *
   * @param tokenCount number of tokens of the last stage; 0 if its answer isn't a token stream
   * @param stages reports of all stages
   */
  record Complete(long tokenCount, List<StageReport> stages) implements RequestAction {}

  /** Refuse the request; {@code stages} reports the stages that were answered. */
  record Fail(Failure failure, List<StageReport> stages) implements RequestAction {}

  /** Discard the request; its caller has disconnected. */
  record Abandon() implements RequestAction {}

  /** Log that a message arrived too late, twice, or for another attempt, and had no effect. */
  record Stale(StageCall call, String message) implements RequestAction {}
}
