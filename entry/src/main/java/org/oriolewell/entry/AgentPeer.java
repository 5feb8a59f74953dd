package org.oriolewell.entry;

import org.oriolewell.runtime.admin.QueryPeer;
import org.oriolewell.runtime.config.ConfigPeer;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireConnection;

/**
 * Connection to an agent over which configuration messages and operators' queries are exchanged.
 *
 * @param process the agent's process name
 * @param region the agent's region
 */
record AgentPeer(String process, String region, WireConnection connection)
    implements ConfigPeer, QueryPeer {
  @Override
  public boolean send(Message message) {
    return connection.send(message);
  }
}
