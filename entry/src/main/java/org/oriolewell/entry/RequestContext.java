package org.oriolewell.entry;

import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.oriolewell.core.result.RequestPlan;
import org.oriolewell.runtime.log.EventLog;

/**
 * Components and settings that all requests of this entry share.
 *
 * @param router chooses the agent of each call
 * @param agents known agents, with the pools' routers, to which the results of calls are reported
 * @param stagePlanner divides the time until a request's deadline among its stages
 * @param retryBudgets retry budgets of the process and of each pipeline
 * @param timers runs tasks at deadlines and after retry delays
 * @param clock monotonic clock
 * @param keySupplier creates idempotency keys for requests without a caller's key
 * @param random source of the random part of retry delays
 * @param timing delays between the attempts of a stage
 * @param credits frames of tokens that an agent may send before the entry returns credit for them
 */
record RequestContext(
    CallRouter router,
    AgentDirectory agents,
    StagePlanner stagePlanner,
    RetryBudgets retryBudgets,
    ScheduledExecutorService timers,
    InstantSource clock,
    Supplier<String> keySupplier,
    RandomGenerator random,
    RequestPlan.Timing timing,
    int credits,
    EntryMetrics metrics,
    EventLog log) {}
