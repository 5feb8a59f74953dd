package org.oriolewell.gateway;

import java.time.Duration;
import java.util.function.Consumer;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Runs the steps of one request: timers, and callbacks of upstreams, stages and permits. If a step
 * throws, the request is ended, and the code that called the step goes on with other requests. Used
 * on the event loop only.
 */
final class RequestGuard {
  private final EventLoop loop;
  private final EventLog log;
  private final String requestId;
  private final Runnable onStepFailed;

  /**
   * Creates a guard.
   *
   * @param requestId identifier of the request in the log; empty if it isn't known
   * @param onStepFailed ends the request with an answer, or closes its connection
   */
  RequestGuard(EventLoop loop, EventLog log, String requestId, Runnable onStepFailed) {
    this.loop = loop;
    this.log = log;
    this.requestId = requestId;
    this.onStepFailed = onStepFailed;
  }

  /**
   * Runs a step. An exception is logged and ends the request.
   *
   * @throws Error if the step throws one, after the request was ended; the event loop decides
   *     whether the process can go on
   */
  void run(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      log.event(GatewayEvent.REQUEST_STEP_FAILED).with("request", requestId).cause(e).write();
      onStepFailed.run();
    } catch (Error e) {
      onStepFailed.run();
      throw e;
    }
  }

  /** Runs a step after a delay. */
  EventLoop.Timer after(Duration delay, Runnable step) {
    return loop.after(delay, () -> run(step));
  }

  /** Returns a receiver that runs as a step. */
  <T> Consumer<T> receiver(Consumer<T> step) {
    return value -> run(() -> step.accept(value));
  }
}
