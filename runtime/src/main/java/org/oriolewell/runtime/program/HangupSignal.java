package org.oriolewell.runtime.program;

import sun.misc.Signal;

/** Handling of SIGHUP. Without a handler, the Java runtime ends the process on this signal. */
final class HangupSignal {
  private HangupSignal() {}

  /** Installs a task that the Java runtime runs on a thread of its own at each SIGHUP. */
  static void handle(Runnable task) {
    Signal.handle(new Signal("HUP"), signal -> task.run());
  }
}
