package org.oriolewell.runtime.log;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the process ends. The JDK's own one removes them in a
 * shutdown hook of its own, which loses the lines that a planned stop writes.
 */
public final class ShutdownLogManager extends LogManager {
  private static final String PROPERTY = "java.util.logging.manager";

  private volatile boolean kept;

  /** Creates the manager; the JDK calls this. */
  public ShutdownLogManager() {}

  /** Makes this class the process's log manager. It must be called before the first log line. */
  public static void select() {
    if (System.getProperty(PROPERTY) == null) {
      System.setProperty(PROPERTY, ShutdownLogManager.class.getName());
    }
  }

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
