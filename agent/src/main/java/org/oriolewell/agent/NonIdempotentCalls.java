package org.oriolewell.agent;

import java.util.Map;
import org.oriolewell.runtime.wire.Message;

/** Runs calls that may run at most once for their key. Used on the agent's loop only. */
interface NonIdempotentCalls {
  /** Returns a call that isn't started yet. */
  ActiveCall create(Dialer dialer, UpstreamCall call);

  /** Answers the question for a key's final outcome with a SETTLED message. */
  void settle(Dialer dialer, Message.Settle question);

  /** Returns the owned shards: shard name to epoch. */
  Map<String, Long> shards();
}
