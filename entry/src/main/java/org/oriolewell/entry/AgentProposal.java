package org.oriolewell.entry;

import java.net.InetSocketAddress;

/**
 * An agent that the host list or the settings name. What the agent says of itself takes precedence.
 *
 * @param name host name, stable over restarts
 * @param address address of the agent
 * @param pool pool of its upstream; empty if not known
 * @param zone availability zone; empty if not known
 * @param region region; empty if not known
 * @param leaving whether the host is about to leave
 */
record AgentProposal(
    String name,
    InetSocketAddress address,
    String pool,
    String zone,
    String region,
    boolean leaving) {}
