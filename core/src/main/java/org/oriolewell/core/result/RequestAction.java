package org.oriolewell.core.result;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Something that the holder of a {@link RequestMachine} must do. */
public sealed interface RequestAction {
  /**
   * Choose an upstream and send a call; report {@link RequestEvent.Sent} or {@link
   * RequestEvent.NotSent}.
   *
   * @param key idempotency key; null for idempotent calls
   * @param resumeFrom position of the first token wanted
   * @param avoid upstreams that failed this stage, to be used only if there is no other
   * @param owner text that names the agent that owns the key's shard; null if not known
   */
  record Dispatch(
      StageCall call,
      @Nullable String key,
      long resumeFrom,
      Set<String> avoid,
      @Nullable String owner)
      implements RequestAction {
    /** Copies the set. */
    public Dispatch {
      avoid = Set.copyOf(avoid);
    }
  }

  /** Report {@link RequestEvent.DelayElapsed} after a delay. */
  record Wait(StageCall call, Duration delay) implements RequestAction {}

  /** Permit a non-idempotent call to run. */
  record Grant(StageCall call) implements RequestAction {}

  /** Forbid a non-idempotent call to run. */
  record Deny(StageCall call) implements RequestAction {}

  /** Tell the agent that the answer is no longer wanted. */
  record Cancel(StageCall call) implements RequestAction {}

  /**
   * Hand tokens on. There is one such action for each accepted frame; it is empty if all its tokens
   * were known already.
   *
   * @param position position of the first token
   */
  record Emit(StageCall call, long position, List<String> items) implements RequestAction {}

  /** Keep the output of a call as the result of its stage. */
  record Accept(StageCall call) implements RequestAction {}

  /**
   * Answer the caller with the output of the last stage.
   *
   * @param tokenCount tokens of the last stage; 0 if it isn't a stream
   * @param stages reports of all stages
   */
  record Complete(long tokenCount, List<StageReport> stages) implements RequestAction {}

  /** Refuse the request. */
  record Fail(Failure failure, List<StageReport> stages) implements RequestAction {}

  /** Forget the request; there is nobody to answer. */
  record Abandon() implements RequestAction {}

  /** Log that a message came too late, twice, or for another attempt, and had no effect. */
  record Stale(StageCall call, String message) implements RequestAction {}
}
