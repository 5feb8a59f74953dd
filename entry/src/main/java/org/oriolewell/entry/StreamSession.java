package org.oriolewell.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;

/**
 * A request whose caller takes its answer as a stream. The caller may lose its connection and
 * resume; if it doesn't within the grace time, the request is canceled.
 */
final class StreamSession {
  private final RequestRun run;
  private final ScheduledExecutorService timers;
  private final Duration grace;
  private @Nullable StreamReader current;

  StreamSession(RequestRun run, ScheduledExecutorService timers, Duration grace) {
    this.run = run;
    this.timers = timers;
    this.grace = grace;
  }

  String id() {
    return run.id();
  }

  RequestRun run() {
    return run;
  }

  /**
   * Writes the stream to a caller, in place of an earlier one.
   *
   * @param from position of the first token wanted
   * @param done called when this caller has the whole stream or left
   */
  CompletableFuture<HttpReply> attach(HttpCall call, long from, Runnable done) {
    StreamReader reader = new StreamReader(call, run.id(), run.tokens(), from, run::taken);
    StreamReader earlier;
    synchronized (this) {
      earlier = current;
      current = reader;
    }
    if (earlier != null) {
      earlier.replace();
    }
    CompletableFuture<HttpReply> reply = reader.start();
    reader
        .closed()
        .thenAccept(
            whole -> {
              if (!whole) {
                left(reader);
              }
              done.run();
            });
    return reply;
  }

  private void left(StreamReader reader) {
    if (grace.isZero()) {
      leaveIfCurrent(reader);
    } else {
      timers.schedule(() -> leaveIfCurrent(reader), grace.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void leaveIfCurrent(StreamReader reader) {
    boolean last;
    synchronized (this) {
      last = current == reader;
    }
    if (last) {
      run.callerLeft();
    }
  }
}
