package org.oriolewell.agent;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.IntSupplier;
import org.oriolewell.core.drain.DrainAction;
import org.oriolewell.core.drain.DrainEvent;
import org.oriolewell.core.drain.DrainMachine;
import org.oriolewell.core.drain.DrainSettings;

/** Carries out what the drain's state machine asks for. Used on the agent's loop only. */
final class DrainControl {
  private static final String CONFIGURATION = "configuration";

  private final AgentContext context;
  private final DrainMachine machine;
  private final NonIdempotentCalls nonIdempotent;
  private final IntSupplier openCalls;
  private final CountDownLatch exit = new CountDownLatch(1);
  private volatile boolean accepting = true;

  DrainControl(
      AgentContext context,
      DrainSettings settings,
      NonIdempotentCalls nonIdempotent,
      IntSupplier openCalls) {
    this.context = context;
    this.machine = DrainMachine.of(settings);
    this.nonIdempotent = nonIdempotent;
    this.openCalls = openCalls;
  }

  /** Returns whether calls are accepted. May be called on any thread. */
  boolean accepting() {
    return accepting;
  }

  /** Returns the latch that opens when the process may end. */
  CountDownLatch exit() {
    return exit;
  }

  /** Returns the state for operators. */
  String state() {
    return machine.state();
  }

  /** Adopts what the configuration in force says of this host. */
  void configured(boolean draining) {
    request(CONFIGURATION, draining);
  }

  /** Takes note of whether a source wants this process to drain. */
  void request(String source, boolean draining) {
    on(draining ? new DrainEvent.Requested(source) : new DrainEvent.Withdrawn(source));
  }

  void stop() {
    on(new DrainEvent.Stop());
  }

  /** Takes note that a call ended. */
  void callEnded() {
    if (!accepting) {
      checkIdle();
    }
  }

  void tick() {
    on(new DrainEvent.Tick());
    callEnded();
  }

  private void checkIdle() {
    if (openCalls.getAsInt() == 0 && nonIdempotent.running() == 0) {
      on(new DrainEvent.Idle());
    }
  }

  private void on(DrainEvent event) {
    String before = machine.state();
    boolean hadTimedOut = machine.timedOut();
    final List<DrainAction> actions = machine.on(event, context.clock().instant());
    accepting = machine.acceptsCalls();
    if (!before.equals(machine.state())) {
      log(before, event);
    }
    if (machine.timedOut() && !hadTimedOut) {
      context.log().event(AgentEvent.DRAIN_TIMED_OUT).with("state", before).write();
    }
    actions.forEach(this::perform);
  }

  private void log(String before, DrainEvent event) {
    context
        .log()
        .event(AgentEvent.DRAIN_CHANGED)
        .with("from", before)
        .with("to", machine.state())
        .with("cause", event.getClass().getSimpleName())
        .with("sources", String.join(", ", machine.sources()))
        .with("open_calls", openCalls.getAsInt())
        .with("running_non_idempotent", nonIdempotent.running())
        .write();
  }

  private void perform(DrainAction action) {
    switch (action) {
      case REFUSE_CALLS -> context.loop().execute(this::checkIdle);
      case ACCEPT_CALLS -> nonIdempotent.reopen();
      case RELEASE_SHARDS ->
          nonIdempotent.release(() -> context.loop().execute(() -> on(new DrainEvent.Released())));
      case EXIT -> exit.countDown();
      default -> throw new IllegalStateException("unknown action " + action);
    }
  }
}
