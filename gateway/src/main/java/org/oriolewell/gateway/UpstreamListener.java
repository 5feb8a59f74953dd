package org.oriolewell.gateway;

import org.eclipse.jetty.http.HttpFields;

/** Receives the answer to an {@link UpstreamRequest}, on the event loop. */
interface UpstreamListener {

  /** Called when a connection was opened for the request, which can still be canceled unsent. */
  default void onConnected() {}

  /** Called when the request was queued for writing on an open connection. */
  default void onSent() {}

  /** Called when the status line and the headers of the answer were read. */
  void onHead(int status, HttpFields headers);

  /**
   * Called for each part of the answer's body, without chunk framing.
   *
   * @throws AnswerTooLargeException if the answer exceeds what the listener accepts; the connection
   *     is closed and {@link #onFailure} is called
   */
  void onContent(byte[] content) throws AnswerTooLargeException;

  /** Returns the size of what the listener keeps of the answer, in bytes. */
  default long bufferedBytes() {
    return 0;
  }

  /** Called once when the answer was read completely. */
  void onComplete();

  /**
   * Called once if no complete answer was received.
   *
   * @param mayHaveBeenSent whether the upstream may have received the request
   */
  void onFailure(boolean mayHaveBeenSent, Throwable cause);
}
