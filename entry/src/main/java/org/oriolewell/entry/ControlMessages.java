package org.oriolewell.entry;

import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireConnection;

/** Receives the messages of an agent that belong to no call, such as those about configuration. */
@FunctionalInterface
interface ControlMessages {
  /** Called for each such message. It must not block. */
  void onMessage(WireConnection connection, Message message);
}
