package org.oriolewell.agent;

import java.util.Map;
import java.util.Optional;
import org.oriolewell.runtime.wire.Message;

/** Runs calls that may run at most once for their key. Used on the agent's loop only. */
interface NonIdempotentCalls {
  /** Returns why a call can't be taken, or empty if it can. */
  Optional<Refusal> check(UpstreamCall call);

  /** Returns a checked call that isn't started yet. */
  ActiveCall create(Dialer dialer, UpstreamCall call);

  /** Answers the question for a key's final outcome with a SETTLED message. */
  void settle(Dialer dialer, Message.Settle question);

  /** Returns the owned shards: shard name to epoch. */
  Map<String, Long> shards();

  /** Returns the number of calls at the upstream, also those whose dialer has gone. */
  int running();

  /** Gives all shards back and calls the listener once that is done. */
  void release(Runnable onReleased);

  /** Takes calls again after a release. */
  void reopen();
}
