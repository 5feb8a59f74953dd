package org.oriolewell.agent;

import java.time.InstantSource;
import org.oriolewell.runtime.log.EventLog;

/**
 * The parts of an agent that all its calls use.
 *
 * @param identity the agent's host, process id, firm, pool, zone and region
 * @param clock wall clock
 * @param loop executor of all changes of the agent's state
 * @param log event log of the agent
 * @param metrics metrics of the agent
 * @param admission admission control in front of the upstream
 * @param upstream the back end that the agent calls
 * @param config configuration in force
 * @param maxFrameBytes largest frame that is accepted or sent, in bytes
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
