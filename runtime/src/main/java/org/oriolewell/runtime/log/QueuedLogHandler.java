package org.oriolewell.runtime.log;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.jspecify.annotations.Nullable;

/**
 * Writes log lines from a bounded queue on a thread of its own, so that a slow reader of the output
 * never delays requests. If the queue is full, a line is dropped and counted; a log event before
 * the next written line reports the number of dropped lines.
 */
final class QueuedLogHandler extends Handler {
  /** Most lines in the queue, about as many as a busy process logs in one second. */
  private static final int QUEUE_CAPACITY_LINES = 4096;

  private final BlockingQueue<String> queuedLines = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
  private final AtomicLong droppedLines = new AtomicLong();
  private final PrintStream output;

  private QueuedLogHandler(PrintStream output) {
    this.output = output;
  }

  /** Returns a handler whose writer thread has been started. */
  static QueuedLogHandler start(PrintStream output) {
    QueuedLogHandler handler = new QueuedLogHandler(output);
    Thread writerThread = new Thread(handler::writeLines, "log-writer");
    writerThread.setDaemon(true);
    writerThread.start();
    return handler;
  }

  @Override
  public void publish(LogRecord record) {
    if (isLoggable(record) && !queuedLines.offer(getFormatter().format(record))) {
      droppedLines.incrementAndGet();
    }
  }

  private void writeLines() {
    try {
      while (true) {
        write(queuedLines.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(String line) {
    long droppedCount = droppedLines.getAndSet(0);
    if (droppedCount > 0) {
      output.print(
          "{\"event\":\"OW-1005\",\"name\":\"LINES_DROPPED\",\"lines\":" + droppedCount + "}\n");
    }
    output.print(line);
    if (queuedLines.isEmpty()) {
      output.flush();
    }
  }

  @Override
  public void flush() {
    @Nullable String line = queuedLines.poll();
    while (line != null) {
      write(line);
      line = queuedLines.poll();
    }
    output.flush();
  }

  @Override
  public void close() {
    flush();
  }
}
