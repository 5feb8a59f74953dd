package org.oriolewell.entry;

import java.net.InetSocketAddress;

/**
 * An agent named by the host list or the settings. The pool, zone and region in the agent's own
 * HELLO take precedence.
 *
 * @param name host name, stable over restarts
 * @param address IP address and port on which the agent accepts connections
 * @param pool pool of its upstream; empty if not known
 * @param zone availability zone; empty if not known
 * @param region region; empty if not known
 * @param leaving whether the host list marks the host as leaving
 */
record AgentProposal(
    String name,
    InetSocketAddress address,
    String pool,
    String zone,
    String region,
    boolean leaving) {}
