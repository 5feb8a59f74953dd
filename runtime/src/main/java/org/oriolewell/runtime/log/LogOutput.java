package org.oriolewell.runtime.log;

import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Directs all log lines to the standard error stream, one line each without decoration. */
public final class LogOutput {
  private static final String MANAGER_PROPERTY = "java.util.logging.manager";

  private LogOutput() {}

  /**
   * Makes {@link ShutdownLogManager} the process's log manager. It must be called before anything
   * uses {@link LogManager}, which reads the choice when it is initialized; for that reason the
   * method can't be in the manager itself.
   */
  public static void selectManager() {
    if (System.getProperty(MANAGER_PROPERTY) == null) {
      System.setProperty(MANAGER_PROPERTY, ShutdownLogManager.class.getName());
    }
  }

  /** Installs the output for the whole process. */
  public static void install(Level level) {
    LogManager.getLogManager().reset();
    Handler handler = new ConsoleHandler();
    handler.setLevel(level);
    handler.setFormatter(
        new Formatter() {
          @Override
          public String format(LogRecord record) {
            return formatMessage(record) + System.lineSeparator();
          }
        });
    Logger root = Logger.getLogger("");
    root.addHandler(handler);
    root.setLevel(level);
    Logger.getLogger("org.eclipse.jetty").setLevel(Level.WARNING);
    ShutdownLogManager.keepHandlers();
  }
}
