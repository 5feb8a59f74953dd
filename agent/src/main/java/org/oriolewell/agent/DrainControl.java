package org.oriolewell.agent;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.IntSupplier;
import org.oriolewell.core.drain.DrainAction;
import org.oriolewell.core.drain.DrainEvent;
import org.oriolewell.core.drain.DrainMachine;
import org.oriolewell.core.drain.DrainSettings;

/**
 * Runs the state machine of the agent's drain: passes it events and performs its actions. Used on
 * the agent's loop only unless stated otherwise.
 */
final class DrainControl {
  private static final String CONFIGURATION_SOURCE = "configuration";

  private final AgentContext context;
  private final DrainMachine drainMachine;
  private final NonIdempotentCalls nonIdempotentCalls;
  private final IntSupplier openCallCount;
  private final CountDownLatch exitLatch = new CountDownLatch(1);
  private volatile boolean accepting = true;

  DrainControl(
      AgentContext context,
      DrainSettings settings,
      NonIdempotentCalls nonIdempotentCalls,
      IntSupplier openCallCount) {
    this.context = context;
    this.drainMachine = DrainMachine.of(settings);
    this.nonIdempotentCalls = nonIdempotentCalls;
    this.openCallCount = openCallCount;
  }

  /** Returns whether new calls are accepted. May be called on any thread. */
  boolean accepting() {
    return accepting;
  }

  /** Returns the latch that is released when the process may exit. May be called on any thread. */
  CountDownLatch exit() {
    return exitLatch;
  }

  /** Returns the name of the drain state, which operators see. */
  String state() {
    return drainMachine.state();
  }

  /** Applies whether the configuration in force asks this host to drain. */
  void applyConfiguration(boolean drainRequested) {
    setRequested(CONFIGURATION_SOURCE, drainRequested);
  }

  /** Sets whether a source, such as the configuration, asks this process to drain. */
  void setRequested(String source, boolean drainRequested) {
    handle(drainRequested ? new DrainEvent.Requested(source) : new DrainEvent.Withdrawn(source));
  }

  /** Starts a planned stop of the process. */
  void stop() {
    handle(new DrainEvent.Stop());
  }

  /** Called when a call has ended, which may complete a drain. */
  void callEnded() {
    if (!accepting) {
      signalIfIdle();
    }
  }

  /** Checks the time limits of the drain; called about every 50 ms. */
  void tick() {
    handle(new DrainEvent.Tick());
    callEnded();
  }

  private void signalIfIdle() {
    if (openCallCount.getAsInt() == 0 && nonIdempotentCalls.runningCount() == 0) {
      handle(new DrainEvent.Idle());
    }
  }

  private void handle(DrainEvent event) {
    String stateBefore = drainMachine.state();
    boolean hadTimedOut = drainMachine.timedOut();
    final List<DrainAction> actions = drainMachine.on(event, context.clock().instant());
    accepting = drainMachine.acceptsCalls();
    if (!stateBefore.equals(drainMachine.state())) {
      logTransition(stateBefore, event);
    }
    if (drainMachine.timedOut() && !hadTimedOut) {
      context.log().event(AgentEvent.DRAIN_TIMED_OUT).with("state", stateBefore).write();
    }
    actions.forEach(this::perform);
  }

  private void logTransition(String stateBefore, DrainEvent event) {
    context
        .log()
        .event(AgentEvent.DRAIN_CHANGED)
        .with("from", stateBefore)
        .with("to", drainMachine.state())
        .with("cause", event.getClass().getSimpleName())
        .with("sources", String.join(", ", drainMachine.sources()))
        .with("open_calls", openCallCount.getAsInt())
        .with("running_non_idempotent", nonIdempotentCalls.runningCount())
        .write();
  }

  private void perform(DrainAction action) {
    switch (action) {
      case REFUSE_CALLS -> context.loop().execute(this::signalIfIdle);
      case ACCEPT_CALLS -> nonIdempotentCalls.reopen();
      case RELEASE_SHARDS ->
          nonIdempotentCalls.release(
              () -> context.loop().execute(() -> handle(new DrainEvent.Released())));
      case EXIT -> exitLatch.countDown();
      default -> throw new IllegalStateException("unknown action " + action);
    }
  }
}
