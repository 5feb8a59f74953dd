package org.oriolewell.entry;

import org.oriolewell.runtime.admin.QueryPeer;
import org.oriolewell.runtime.config.ConfigPeer;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireConnection;

/**
 * One connection to an agent, as the configuration's distribution and operators' questions see it.
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
