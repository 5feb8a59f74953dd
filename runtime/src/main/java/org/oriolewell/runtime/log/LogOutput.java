package org.oriolewell.runtime.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sends the log lines of the process to one output stream, without a prefix from the logger. */
public final class LogOutput {
  private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";

  private LogOutput() {}

  /**
   * Selects {@link ShutdownLogManager} as the log manager of the process. Must be called before the
   * first use of {@link LogManager}, which reads this system property when it is initialized; for
   * that reason the method can't be in the log manager itself.
   */
  public static void selectManager() {
    if (System.getProperty(LOG_MANAGER_PROPERTY) == null) {
      System.setProperty(LOG_MANAGER_PROPERTY, ShutdownLogManager.class.getName());
    }
  }

  /** Sends the log lines of the process to standard error, from the given level upwards. */
  public static void install(Level level) {
    install(level, new ConsoleHandler());
  }

  private static void install(Level level, Handler handler) {
    LogManager.getLogManager().reset();
    handler.setLevel(level);
    handler.setFormatter(
        new Formatter() {
          @Override
          public String format(LogRecord record) {
            return formatMessage(record) + System.lineSeparator();
          }
        });
    Logger rootLogger = Logger.getLogger("");
    rootLogger.addHandler(handler);
    rootLogger.setLevel(level);
    Logger.getLogger("org.eclipse.jetty").setLevel(Level.WARNING);
    ShutdownLogManager.keepHandlers();
  }

  /**
   * Sends the log lines of the process to standard output, from the given level upwards. A thread
   * of its own writes them; lines are dropped and counted if the reader of the stream is too slow.
   */
  public static void installQueued(Level level) {
    PrintStream output =
        new PrintStream(new FileOutputStream(FileDescriptor.out), false, StandardCharsets.UTF_8);
    install(level, QueuedLogHandler.start(output));
  }

  /** Writes the queued log lines; called before the process ends. */
  public static void flush() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.flush();
    }
  }
}
