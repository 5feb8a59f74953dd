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

/** Directs all log lines to one output stream, one line each without decoration. */
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

  /** Installs the standard error stream as the output of the whole process. */
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
    Logger root = Logger.getLogger("");
    root.addHandler(handler);
    root.setLevel(level);
    Logger.getLogger("org.eclipse.jetty").setLevel(Level.WARNING);
    ShutdownLogManager.keepHandlers();
  }

  /**
   * Installs the standard output stream as the output of the whole process. Lines are written on a
   * thread of their own and dropped, with a count, while the reader of the stream stalls.
   */
  public static void installQueued(Level level) {
    PrintStream output =
        new PrintStream(new FileOutputStream(FileDescriptor.out), false, StandardCharsets.UTF_8);
    install(level, QueuedLogHandler.start(output));
  }

  /** Writes the lines that wait, before the process ends. */
  public static void flush() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.flush();
    }
  }
}
