package org.oriolewell.runtime.log;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the process ends. The JDK's own one removes them in a
 * shutdown hook of its own, which loses the lines that a planned stop writes.
 */
public final class ShutdownLogManager extends LogManager {
  private volatile boolean kept;

  /** Creates the manager; the JDK calls this. */
  public ShutdownLogManager() {}

  /** Keeps the present handlers from now on. */
  static void keepHandlers() {
    if (LogManager.getLogManager() instanceof ShutdownLogManager manager) {
      manager.kept = true;
    }
  }

  @Override
  public void reset() {
    if (!kept) {
      super.reset();
    }
  }
}
