package org.oriolewell.gateway;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.net.EventLoop;

/** A timer that runs at most one task: starting it cancels the one before. */
final class SingleTimer {
  private final EventLoop loop;
  private EventLoop.@Nullable Timer timer;

  SingleTimer(EventLoop loop) {
    this.loop = loop;
  }

  /** Runs a task after a delay. */
  void start(Duration delay, Runnable task) {
    stop();
    timer = loop.after(delay, task);
  }

  /** Cancels the task. */
  void stop() {
    EventLoop.Timer runningTimer = timer;
    if (runningTimer != null) {
      runningTimer.cancel();
      timer = null;
    }
  }
}
