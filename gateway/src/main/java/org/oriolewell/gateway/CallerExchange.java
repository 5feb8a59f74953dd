package org.oriolewell.gateway;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller and its answer. The answer is either sent whole or as a stream, whose end
 * is marked only if {@link #endStream()} is called. Used on the event loop only.
 */
final class CallerExchange {
  private enum State {
    OPEN,
    STREAMING,
    ENDED
  }

  private final CallerConnection connection;
  private final CallerRequest request;
  private final boolean close;
  private State state = State.OPEN;
  private @Nullable Runnable onGone;

  private CallerExchange(CallerConnection connection, CallerRequest request, boolean close) {
    this.connection = connection;
    this.request = request;
    this.close = close;
  }

  /**
   * Returns an exchange.
   *
   * @param close whether the caller wants the connection closed after the answer
   */
  static CallerExchange of(CallerConnection connection, CallerRequest request, boolean close) {
    return new CallerExchange(connection, request, close);
  }

  /** Returns the request. */
  CallerRequest request() {
    return request;
  }

  /** Sets what is done if the caller leaves before the answer is complete. */
  void onGone(Runnable task) {
    onGone = task;
  }

  /** Returns whether the answer is complete or the caller has left. */
  boolean ended() {
    return state == State.ENDED;
  }

  /** Returns whether a stream's head was sent. */
  boolean streaming() {
    return state == State.STREAMING;
  }

  /** Sends a whole answer. */
  void reply(int status, HttpFields headers, byte[] body) {
    if (state != State.OPEN) {
      return;
    }
    state = State.ENDED;
    boolean keepOpen = !close && !connection.stopping();
    HttpFields.Mutable head = HttpFields.build(headers);
    head.put(HttpHeader.CONTENT_LENGTH, Integer.toString(body.length));
    if (!keepOpen) {
      head.put(HttpHeader.CONNECTION, "close");
    }
    boolean bodyless = request.method().equals("HEAD");
    connection.write(
        HttpText.responseHead(status, head), ByteBuffer.wrap(bodyless ? new byte[0] : body));
    connection.exchangeEnded(keepOpen);
  }

  /** Sends the head of a stream. */
  void startStream(int status, HttpFields headers) {
    if (state != State.OPEN) {
      return;
    }
    state = State.STREAMING;
    HttpFields.Mutable head = HttpFields.build(headers);
    head.put(HttpHeader.TRANSFER_ENCODING, "chunked");
    if (close || connection.stopping()) {
      head.put(HttpHeader.CONNECTION, "close");
    }
    connection.write(HttpText.responseHead(status, head));
  }

  /** Sends a part of a stream. */
  void writeStream(byte[] content) {
    if (state == State.STREAMING && content.length > 0) {
      connection.write(HttpText.chunk(content));
    }
  }

  /** Marks the stream as complete. */
  void endStream() {
    if (state == State.STREAMING) {
      state = State.ENDED;
      connection.write(HttpText.lastChunk());
      connection.exchangeEnded(!close && !connection.stopping());
    }
  }

  /** Closes the connection without completing the answer. */
  void abort() {
    if (state != State.ENDED) {
      state = State.ENDED;
      connection.close();
    }
  }

  /** Records that the caller has left. */
  void callerGone() {
    if (state != State.ENDED) {
      state = State.ENDED;
      Runnable task = onGone;
      if (task != null) {
        task.run();
      }
    }
  }
}
