package org.oriolewell.gateway;

import org.eclipse.jetty.http.HttpFields;

/** Listener that collects the status and the body of an answer until it is complete. */
abstract class BufferedAnswer implements UpstreamListener {
  private final AnswerBody body;
  private int status;
  private HttpFields headers = HttpFields.EMPTY;

  /**
   * Creates a listener that has received nothing.
   *
   * @param maxBodyBytes largest accepted body, in bytes
   * @param limitName constant that holds the limit, named when it is exceeded
   */
  BufferedAnswer(long maxBodyBytes, String limitName) {
    body = AnswerBody.withLimit(maxBodyBytes, limitName);
  }

  @Override
  public void onHead(int answerStatus, HttpFields answerHeaders) {
    status = answerStatus;
    headers = answerHeaders;
  }

  @Override
  public void onContent(byte[] content) throws AnswerTooLargeException {
    body.append(content);
  }

  @Override
  public long bufferedBytes() {
    return body.size();
  }

  /** Returns the HTTP status of the answer; 0 before its head was read. */
  int status() {
    return status;
  }

  /** Returns the headers of the answer; none before its head was read. */
  HttpFields headers() {
    return headers;
  }

  /** Returns the part of the body that was read so far. */
  byte[] body() {
    return body.toByteArray();
  }
}
