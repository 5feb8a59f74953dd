package org.oriolewell.gateway;

import org.eclipse.jetty.http.HttpFields;

/** Receives the answer to an {@link UpstreamRequest}, on the event loop. */
interface UpstreamListener {

  /** Called when the request is handed to an open connection. */
  default void onSent() {}

  /** Called when the head of the answer was read. */
  void onHead(int status, HttpFields headers);

  /** Called for each part of the body. */
  void onContent(byte[] content);

  /** Called once when the answer is whole. */
  void onComplete();

  /**
   * Called once if there is no whole answer.
   *
   * @param sent whether the upstream may have received the request
   */
  void onFailure(boolean sent, Throwable cause);
}
