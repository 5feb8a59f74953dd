package org.oriolewell.runtime.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.jspecify.annotations.Nullable;

/**
 * Writes log lines from a bounded queue on a thread of its own, so that a reader of the output that
 * stalls never delays requests. A line that finds the queue full is dropped and counted; the next
 * line that is written says how many were lost.
 */
final class QueuedLogHandler extends Handler {
  /** Lines that may wait; about a second of a busy node's lines. */
  private static final int CAPACITY = 4096;

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream output;

  private QueuedLogHandler(PrintStream output) {
    this.output = output;
  }

  /** Returns a handler whose writer thread runs. */
  static QueuedLogHandler start(PrintStream output) {
    QueuedLogHandler handler = new QueuedLogHandler(output);
    Thread writer = new Thread(handler::writeLines, "log-writer");
    writer.setDaemon(true);
    writer.start();
    return handler;
  }

  @Override
  public void publish(LogRecord record) {
    if (isLoggable(record) && !lines.offer(getFormatter().format(record))) {
      dropped.incrementAndGet();
    }
  }

  private void writeLines() {
    try {
      while (true) {
        write(lines.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(String line) {
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      output.print("{\"event\":\"OW-1005\",\"name\":\"LINES_DROPPED\",\"lines\":" + lost + "}\n");
    }
    output.print(line);
    if (lines.isEmpty()) {
      output.flush();
    }
  }

  @Override
  public void flush() {
    @Nullable String line = lines.poll();
    while (line != null) {
      write(line);
      line = lines.poll();
    }
    output.flush();
  }

  @Override
  public void close() {
    flush();
  }
}
