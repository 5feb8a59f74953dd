package org.oriolewell.entry;

import org.oriolewell.runtime.wire.Message;

/** Hears of agents and of their messages that belong to no call. Methods must not block. */
interface PeerMessages {
  /** An agent said HELLO. */
  void connected(AgentPeer peer, long configVersion);

  /** An agent named its configuration version in a heartbeat. */
  void versionReceived(AgentPeer peer, long configVersion);

  /** A message about the configuration or an operators' question arrived. */
  void received(AgentPeer peer, Message message);

  /** The connection to an agent was closed. */
  void disconnected(AgentPeer peer);
}
