package org.oriolewell.agent;

import java.util.Map;
import java.util.Optional;
import org.oriolewell.runtime.wire.Message;

/**
 * Runs calls that may run at most once for their idempotency key. Used on the agent's loop only.
 */
interface NonIdempotentCalls {
  /** Returns the refusal of a call that can't be accepted, or empty if it can. */
  Optional<Refusal> check(UpstreamCall call);

  /** Creates an accepted call without starting it; {@link #check} must have returned empty. */
  ActiveCall create(Dialer dialer, UpstreamCall call);

  /** Sends the dialer a SETTLED message with the final outcome of the request's key. */
  void settle(Dialer dialer, Message.Settle request);

  /** Returns the names of the shards that this process owns, each with its epoch. */
  Map<String, Long> ownedShards();

  /** Returns the number of calls at the upstream, including those whose dialer disconnected. */
  int runningCount();

  /** Releases all shards, then runs the listener. */
  void release(Runnable onAllReleased);

  /** Lets calls claim the shards again after a release. */
  void reopen();
}
