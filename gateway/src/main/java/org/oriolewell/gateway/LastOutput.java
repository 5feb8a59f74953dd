package org.oriolewell.gateway;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.io.EndPoint;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.net.OutputQueue;

/**
 * Closes a caller's connection after its last output. A connection that is closed with unread input
 * is reset, and a reset can destroy output that the caller hasn't read, so that input is read and
 * discarded for a time.
 */
final class LastOutput {
  /** Longest time in which the last output of a connection is written to a slow caller. */
  private static final Duration OUTPUT_TIMEOUT = Duration.ofSeconds(10);

  /** Interval at which the end of the last output is checked. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(5);

  /** Longest time for which input is discarded after the output was shut down. */
  private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(1);

  /** Most input that is discarded before a connection is closed. */
  private static final long MAX_DISCARDED_BYTES = 16 << 20;

  private final EventLoop loop;
  private final EndPoint endPoint;
  private final OutputQueue output;
  private final SingleTimer timer;
  private final Runnable close;
  private boolean begun;
  private long discardedBytes;

  LastOutput(
      EventLoop loop, EndPoint endPoint, OutputQueue output, SingleTimer timer, Runnable close) {
    this.loop = loop;
    this.endPoint = endPoint;
    this.output = output;
    this.timer = timer;
    this.close = close;
  }

  /** Returns whether no more requests are read. */
  boolean begun() {
    return begun;
  }

  /**
   * Closes the connection when its output is written.
   *
   * @param inputEnded tells whether the caller will send nothing more
   */
  void begin(BooleanSupplier inputEnded) {
    if (!begun) {
      begun = true;
      await(inputEnded, loop.now() + OUTPUT_TIMEOUT.toNanos());
    }
  }

  private void await(BooleanSupplier inputEnded, long dueAt) {
    if (!output.idle() && loop.now() < dueAt) {
      timer.start(CHECK_INTERVAL, () -> await(inputEnded, dueAt));
    } else if (!output.idle() || inputEnded.getAsBoolean()) {
      close.run();
    } else {
      endPoint.shutdownOutput();
      timer.start(DISCARD_TIMEOUT, close);
    }
  }

  /** Counts input that is discarded, and closes the connection after too much of it. */
  void discard(int byteCount) {
    discardedBytes += byteCount;
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      close.run();
    }
  }
}
