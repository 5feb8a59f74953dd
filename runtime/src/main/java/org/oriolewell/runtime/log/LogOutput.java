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
  private LogOutput() {}

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
