package org.oriolewell.agent;

import java.time.InstantSource;
import org.oriolewell.runtime.log.EventLog;

/**
 * What all calls of an agent share.
 *
 * @param identity the agent's name and place
 * @param clock source of the time
 * @param loop thread of the agent's state
 * @param log log of the agent
 * @param metrics counters of the agent
 * @param admission decides when a call may run
 * @param upstream the upstream beside the agent
 * @param config configuration in force
 * @param maxFrameBytes largest frame that dialers accept
 */
record AgentContext(
    AgentIdentity identity,
    InstantSource clock,
    Loop loop,
    EventLog log,
    AgentMetrics metrics,
    Admission admission,
    Upstream upstream,
    ConfigFeed config,
    int maxFrameBytes) {}
