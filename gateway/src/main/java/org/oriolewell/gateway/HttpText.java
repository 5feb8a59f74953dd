package org.oriolewell.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Writes message heads and chunks. Parsed values hold no line breaks, so they are written as they
 * are; a forwarded message keeps its bytes.
 */
final class HttpText {
  private static final byte[] LINE_END = {'\r', '\n'};
  private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

  private HttpText() {}

  /** Returns the head of a request. */
  static ByteBuffer requestHead(String method, String target, HttpFields headers) {
    return head(method + " " + target + " HTTP/1.1\r\n", headers);
  }

  /** Returns the head of a response. */
  static ByteBuffer responseHead(int status, HttpFields headers) {
    return head("HTTP/1.1 " + status + " " + HttpStatus.getMessage(status) + "\r\n", headers);
  }

  private static ByteBuffer head(String firstLine, HttpFields headers) {
    StringBuilder text = new StringBuilder(firstLine);
    for (HttpField field : headers) {
      text.append(field.getName()).append(": ");
      text.append(field.getValue() == null ? "" : field.getValue()).append("\r\n");
    }
    text.append("\r\n");
    return ByteBuffer.wrap(text.toString().getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Returns the buffers of one chunk. */
  static ByteBuffer[] chunk(byte[] content) {
    byte[] size =
        (Integer.toHexString(content.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    return new ByteBuffer[] {
      ByteBuffer.wrap(size), ByteBuffer.wrap(content), ByteBuffer.wrap(LINE_END)
    };
  }

  /** Returns the end of a chunked body. */
  static ByteBuffer lastChunk() {
    return ByteBuffer.wrap(LAST_CHUNK);
  }
}
