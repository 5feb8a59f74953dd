package org.oriolewell.entry;

import org.oriolewell.runtime.wire.Message;

/**
 * Is notified of connected agents and of their messages about configuration and operators' queries.
 * Methods must not block.
 */
interface ControlMessageListener {
  /** Called when an agent sent HELLO, with the version of its configuration. */
  void connected(AgentPeer peer, long configVersion);

  /** Called when an agent reported its configuration version in a PING or PONG. */
  void versionReceived(AgentPeer peer, long configVersion);

  /**
   * Called when a message about the configuration, an operator's query or a query's result arrived.
   */
  void received(AgentPeer peer, Message message);

  /** Called when the connection to an agent was closed. */
  void disconnected(AgentPeer peer);
}
