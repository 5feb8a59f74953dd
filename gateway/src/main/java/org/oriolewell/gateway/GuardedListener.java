package org.oriolewell.gateway;

import org.eclipse.jetty.http.HttpFields;

/**
 * Passes the events of an upstream call on to the steps of a request. An exception while the head
 * or the body of an answer is read counts as an invalid answer, which the connection reports by
 * {@link #onFailure}.
 */
record GuardedListener(RequestGuard guard, UpstreamListener listener) implements UpstreamListener {
  @Override
  public void onConnected() {
    guard.run(listener::onConnected);
  }

  @Override
  public void onSent() {
    guard.run(listener::onSent);
  }

  @Override
  public void onHead(int status, HttpFields headers) {
    listener.onHead(status, headers);
  }

  @Override
  public void onContent(byte[] content) throws AnswerTooLargeException {
    listener.onContent(content);
  }

  @Override
  public long bufferedBytes() {
    return listener.bufferedBytes();
  }

  @Override
  public void onComplete() {
    guard.run(listener::onComplete);
  }

  @Override
  public void onFailure(boolean mayHaveBeenSent, Throwable cause) {
    guard.run(() -> listener.onFailure(mayHaveBeenSent, cause));
  }
}
