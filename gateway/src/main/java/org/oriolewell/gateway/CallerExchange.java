package org.oriolewell.gateway;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/**
 * One request of a caller and its answer. The answer is either sent at once or as a chunked stream,
 * whose last chunk is only written by {@link #endStream()}. Output to a caller that has
 * disconnected is discarded. Used on the event loop only.
 */
final class CallerExchange {
  /** Progress of the answer. */
  private enum State {
    OPEN,
    STREAMING,
    ENDED,
    CALLER_GONE
  }

  private final CallerConnection connection;
  private final CallerRequest request;
  private final boolean closeAfterAnswer;
  private State state = State.OPEN;
  private boolean closeAnnounced;
  private @Nullable Runnable onCallerGone;
  private Runnable onEnd = () -> {};

  private CallerExchange(
      CallerConnection connection, CallerRequest request, boolean closeAfterAnswer) {
    this.connection = connection;
    this.request = request;
    this.closeAfterAnswer = closeAfterAnswer;
  }

  /**
   * Returns an exchange whose answer has not been started.
   *
   * @param closeAfterAnswer whether the caller asked to close the connection after the answer
   */
  static CallerExchange of(
      CallerConnection connection, CallerRequest request, boolean closeAfterAnswer) {
    return new CallerExchange(connection, request, closeAfterAnswer);
  }

  /** Returns the caller's request. */
  CallerRequest request() {
    return request;
  }

  /** Sets a task that runs if the caller disconnects before the answer is complete. */
  void onCallerGone(Runnable task) {
    onCallerGone = task;
  }

  /**
   * Sets a task that runs once when the exchange ends, in whatever way; at once if it has ended.
   */
  void onEnd(Runnable task) {
    if (ended()) {
      task.run();
    } else {
      onEnd = task;
    }
  }

  private void end(State endState) {
    state = endState;
    onEnd.run();
  }

  /**
   * Reads what has arrived from the caller and returns whether the exchange has ended, by the
   * caller's disconnection or by its answer. Checked before work is started for the caller, because
   * an event loop that is behind has not yet been told of the disconnection.
   */
  boolean detectCallerGone() {
    if (!ended()) {
      connection.readArrivedInput();
    }
    return ended();
  }

  /** Returns whether the answer is complete or was aborted, or the caller has disconnected. */
  boolean ended() {
    return state == State.ENDED || state == State.CALLER_GONE;
  }

  private boolean callerGone(String call, State expectedState) {
    if (state != expectedState && state != State.CALLER_GONE) {
      throw new AnswerStateException(call, state.name());
    }
    return state == State.CALLER_GONE;
  }

  /** Returns whether the head of a streamed answer was sent and its end was not. */
  boolean streaming() {
    return state == State.STREAMING;
  }

  /**
   * Sends a complete answer.
   *
   * @throws AnswerStateException if an answer was started
   */
  void reply(int status, HttpFields headers, byte[] body) {
    if (callerGone("reply", State.OPEN)) {
      return;
    }
    end(State.ENDED);
    boolean keepOpen = !closeAfterAnswer && !connection.stopping();
    HttpFields.Mutable answerHeaders = HttpFields.build(headers);
    answerHeaders.put(HttpHeader.CONTENT_LENGTH, Integer.toString(body.length));
    if (!keepOpen) {
      answerHeaders.put(HttpHeader.CONNECTION, "close");
    }
    boolean omitBody = request.method().equals("HEAD");
    connection.write(
        HttpText.responseHead(status, answerHeaders),
        ByteBuffer.wrap(omitBody ? new byte[0] : body));
    connection.exchangeEnded(keepOpen);
  }

  /**
   * Sends the head of a chunked answer.
   *
   * @throws AnswerStateException if an answer was started
   */
  void startStream(int status, HttpFields headers) {
    if (callerGone("startStream", State.OPEN)) {
      return;
    }
    state = State.STREAMING;
    HttpFields.Mutable answerHeaders = HttpFields.build(headers);
    answerHeaders.put(HttpHeader.TRANSFER_ENCODING, "chunked");
    closeAnnounced = closeAfterAnswer || connection.stopping();
    if (closeAnnounced) {
      answerHeaders.put(HttpHeader.CONNECTION, "close");
    }
    connection.write(HttpText.responseHead(status, answerHeaders));
  }

  /**
   * Sends a part of a streamed answer as one chunk.
   *
   * @throws AnswerStateException if no stream was started, or it has ended
   */
  void writeStream(byte[] content) {
    if (!callerGone("writeStream", State.STREAMING) && content.length > 0) {
      connection.write(HttpText.chunk(content));
    }
  }

  /**
   * Sends the last chunk of a streamed answer and ends the exchange.
   *
   * @throws AnswerStateException if no stream was started, or it has ended
   */
  void endStream() {
    if (!callerGone("endStream", State.STREAMING)) {
      end(State.ENDED);
      connection.write(HttpText.lastChunk());
      connection.exchangeEnded(!closeAnnounced);
    }
  }

  /**
   * Ends the exchange after its processing has failed: with an answer without a body, or by closing
   * the connection if another answer was started.
   *
   * @param status 503 if the request was not sent to an upstream, otherwise 500
   */
  void endAfterFailure(int status) {
    if (state == State.OPEN) {
      HttpFields.Mutable headers = HttpFields.build();
      if (status == 503) {
        headers.add(HttpHeader.RETRY_AFTER, "1");
      }
      reply(status, headers, new byte[0]);
    } else if (state == State.STREAMING) {
      abort();
    } else {
      connection.closeDuring(this);
    }
  }

  /**
   * Closes the connection without completing the answer; does nothing if the exchange has ended.
   */
  void abort() {
    if (!ended()) {
      end(State.ENDED);
      connection.close();
    }
  }

  /** Ends the exchange after the caller has disconnected. */
  void onCallerLeft() {
    if (!ended()) {
      end(State.CALLER_GONE);
      Runnable task = onCallerGone;
      if (task != null) {
        task.run();
      }
    }
  }
}
