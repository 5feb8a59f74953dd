package org.oriolewell.gateway;

import java.io.ByteArrayOutputStream;
import org.eclipse.jetty.http.HttpFields;

/** Listener that collects the status and the body of an answer until it is complete. */
abstract class BufferedAnswer implements UpstreamListener {
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;

  @Override
  public void onHead(int answerStatus, HttpFields headers) {
    status = answerStatus;
  }

  @Override
  public void onContent(byte[] content) {
    body.writeBytes(content);
  }

  /** Returns the HTTP status of the answer; 0 before its head was read. */
  int status() {
    return status;
  }

  /** Returns the part of the body that was read so far. */
  byte[] body() {
    return body.toByteArray();
  }
}
