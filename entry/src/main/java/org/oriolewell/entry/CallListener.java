package org.oriolewell.entry;

import org.oriolewell.runtime.wire.Message;

/** Hears what happens to one call that was sent over an {@link AgentLink}. */
interface CallListener {
  /** Called for each START, TOKENS, RESULT and REFUSED of the call. It must not block. */
  void onMessage(Message message);

  /** Called once if the connection is lost before the call ended. */
  void onLost(String detail);
}
