package org.oriolewell.runtime.log;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the process ends. The JDK's default log manager
 * removes them in a shutdown hook, which loses the lines that are logged during a planned stop.
 */
public final class ShutdownLogManager extends LogManager {
  private volatile boolean keepsHandlers;

  /** Creates the log manager; called by the JDK through reflection. */
  public ShutdownLogManager() {}

  /** Makes later resets of the log manager keep the installed handlers. */
  static void keepHandlers() {
    if (LogManager.getLogManager() instanceof ShutdownLogManager manager) {
      manager.keepsHandlers = true;
    }
  }

  @Override
  public void reset() {
    if (!keepsHandlers) {
      super.reset();
    }
  }
}
