package org.oriolewell.entry;

import org.oriolewell.runtime.wire.Message;

/**
 * Is notified of connections opened and closed by {@link AgentLink}s and of the agents' reported
 * loads.
 */
interface LinkListener {
  /** Called when an agent sent HELLO on a new connection. */
  void connected(AgentLink link, String processName, Message.Load load);

  /** Called when an agent reported its load, in a PONG or with the end of a call. */
  void loadReported(AgentLink link, Message.Load load);

  /** Called when a connection was closed or an attempt to connect failed. */
  void disconnected(AgentLink link);
}
