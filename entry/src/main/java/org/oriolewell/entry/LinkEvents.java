package org.oriolewell.entry;

import org.oriolewell.runtime.wire.Message;

/** Hears what happens to the connections of {@link AgentLink}s. */
interface LinkEvents {
  /** An agent said HELLO. */
  void connected(AgentLink link, String process, Message.Load load);

  /** An agent answered a heartbeat or reported its load. */
  void heard(AgentLink link, Message.Load load);

  /** A connection was closed, or none could be opened. */
  void disconnected(AgentLink link);
}
