package org.oriolewell.runtime.program;

import sun.misc.Signal;

/** The signal SIGHUP. Without a handler the Java runtime ends the process when it arrives. */
final class HangupSignal {
  private HangupSignal() {}

  /** Runs a task on a thread of the runtime whenever the signal arrives. */
  static void handle(Runnable task) {
    Signal.handle(new Signal("HUP"), signal -> task.run());
  }
}
