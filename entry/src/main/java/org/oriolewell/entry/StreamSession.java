package org.oriolewell.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;

/**
 * A request whose answer is streamed to the caller. A caller that loses its connection may resume
 * the stream on another one; if it doesn't within the grace time, the request is canceled.
 */
final class StreamSession {
  private final RequestRun run;
  private final ScheduledExecutorService timers;
  private final Duration gracePeriod;
  private @Nullable StreamWriter currentWriter;

  StreamSession(RequestRun run, ScheduledExecutorService timers, Duration gracePeriod) {
    this.run = run;
    this.timers = timers;
    this.gracePeriod = gracePeriod;
  }

  String id() {
    return run.id();
  }

  RequestRun run() {
    return run;
  }

  /**
   * Writes the stream to a connection of the caller and aborts the previous connection, if any.
   *
   * @param from position of the first token to write
   * @param onClosed called when the whole stream was written to this connection or the connection
   *     was lost
   */
  CompletableFuture<HttpReply> attach(HttpCall call, long from, Runnable onClosed) {
    StreamWriter writer = new StreamWriter(call, run.id(), run.tokenLog(), from, run::tokensTaken);
    StreamWriter previousWriter;
    synchronized (this) {
      previousWriter = currentWriter;
      currentWriter = writer;
    }
    if (previousWriter != null) {
      previousWriter.stopReplaced();
    }
    CompletableFuture<HttpReply> reply = writer.start();
    writer
        .closed()
        .thenAccept(
            endWritten -> {
              if (!endWritten) {
                cancelAfterGrace(writer);
              }
              onClosed.run();
            });
    return reply;
  }

  private void cancelAfterGrace(StreamWriter writer) {
    if (gracePeriod.isZero()) {
      cancelIfNotResumed(writer);
    } else {
      timers.schedule(
          () -> cancelIfNotResumed(writer), gracePeriod.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void cancelIfNotResumed(StreamWriter writer) {
    boolean notResumed;
    synchronized (this) {
      notResumed = currentWriter == writer;
    }
    if (notResumed) {
      run.callerLeft();
    }
  }
}
