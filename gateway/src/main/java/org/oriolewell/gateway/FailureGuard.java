package org.oriolewell.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.oriolewell.runtime.log.EventLog;

/** Runs the steps that follow a read of the store, so that a failed one doesn't stop the others. */
final class FailureGuard {
  private final EventLog log;

  FailureGuard(EventLog log) {
    this.log = log;
  }

  /**
   * Runs a step, and logs its failure.
   *
   * @param name name of the step in the log
   */
  void run(String name, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      log.event(GatewayEvent.UPDATE_FAILED).with("step", name).cause(e).write();
    }
  }

  /** Returns the result of a call; a failed one if the call can't be started. */
  static <T> CompletableFuture<T> start(Supplier<CompletableFuture<T>> call) {
    try {
      return call.get();
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }
}
