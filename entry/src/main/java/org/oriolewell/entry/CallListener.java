package org.oriolewell.entry;

import org.oriolewell.runtime.wire.Message;

/** Is notified of the agent's messages about one call and of the loss of the connection. */
interface CallListener {
  /**
   * Called for each START, TOKENS, RESULT and REFUSED message about the call. It must not block.
   */
  void onMessage(Message message);

  /** Called once if the connection is lost before the call ended. */
  void onConnectionLost(String detail);
}
