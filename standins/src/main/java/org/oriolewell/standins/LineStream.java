package org.oriolewell.standins;

import org.oriolewell.runtime.http.HttpCall;

/**
 * A streamed answer of lines that never blocks its writer. Lines that a slow caller hasn't taken
 * are kept and sent together.
 */
final class LineStream {
  private final HttpCall call;
  private final Runnable onFailure;
  private StringBuilder pending = new StringBuilder();
  private boolean writing;
  private boolean ending;

  /**
   * Starts a stream.
   *
   * @param onFailure called when the caller has left
   */
  LineStream(HttpCall call, Runnable onFailure) {
    this.call = call;
    this.onFailure = onFailure;
    call.startStream(200, "application/x-ndjson");
  }

  /** Sends a line. */
  void line(String line) {
    synchronized (this) {
      pending.append(line).append('\n');
    }
    flush();
  }

  /** Ends the stream after the lines sent so far. */
  void end() {
    synchronized (this) {
      ending = true;
    }
    flush();
  }

  private void flush() {
    String part;
    synchronized (this) {
      if (writing || (pending.isEmpty() && !ending)) {
        return;
      }
      writing = true;
      part = pending.toString();
      pending = new StringBuilder();
    }
    if (part.isEmpty()) {
      call.endStream();
      return;
    }
    call.write(part)
        .whenComplete(
            (written, failure) -> {
              if (failure != null) {
                onFailure.run();
                return;
              }
              synchronized (this) {
                writing = false;
              }
              flush();
            });
  }
}
