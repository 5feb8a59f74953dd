package org.oriolewell.gateway;

import java.io.ByteArrayOutputStream;
import org.eclipse.jetty.http.HttpFields;

/** Listener that needs the answer as a whole: it keeps the status and the body until the end. */
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

  /** Returns the status; 0 before the head was read. */
  int status() {
    return status;
  }

  /** Returns what has been read of the body. */
  byte[] body() {
    return body.toByteArray();
  }
}
