package org.oriolewell.entry;

import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.oriolewell.core.result.RequestPlan;
import org.oriolewell.runtime.log.EventLog;

/**
 * What all requests share.
 *
 * @param router finds agents
 * @param agents routers of the pools, which learn how calls ended
 * @param planner splits deadlines
 * @param budgets retry budgets
 * @param timers runs deadlines and delays
 * @param clock clock that never goes back
 * @param keys makes idempotency keys
 * @param random jitter
 * @param timing delays between attempts
 * @param credits frames that an agent may send ahead
 */
record RunContext(
    CallRouter router,
    AgentDirectory agents,
    StagePlanner planner,
    RetryBudgets budgets,
    ScheduledExecutorService timers,
    InstantSource clock,
    Supplier<String> keys,
    RandomGenerator random,
    RequestPlan.Timing timing,
    int credits,
    EntryMetrics metrics,
    EventLog log) {}
