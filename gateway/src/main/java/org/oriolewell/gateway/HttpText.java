package org.oriolewell.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Encodes HTTP/1.1 message heads and chunks. Header values come from the parser and contain no line
 * breaks, so they are written unchanged, and a forwarded header keeps its bytes.
 */
final class HttpText {
  private static final byte[] LINE_END = {'\r', '\n'};
  private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

  private HttpText() {}

  /** Returns the request line and the headers of a request. */
  static ByteBuffer requestHead(String method, String target, HttpFields headers) {
    return head(method + " " + target + " HTTP/1.1\r\n", headers);
  }

  /** Returns the head of a response without a body, after which the connection is closed. */
  static ByteBuffer refusalHead(int status) {
    HttpFields.Mutable headers =
        HttpFields.build().add(HttpHeader.CONNECTION, "close").add(HttpHeader.CONTENT_LENGTH, "0");
    if (status == 503) {
      headers.add(HttpHeader.RETRY_AFTER, "1");
    }
    return responseHead(status, headers);
  }

  /** Returns the status line and the headers of a response. */
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

  /** Returns one chunk of a chunked body: its size line, content and line end. */
  static ByteBuffer[] chunk(byte[] content) {
    byte[] sizeLine =
        (Integer.toHexString(content.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    return new ByteBuffer[] {
      ByteBuffer.wrap(sizeLine), ByteBuffer.wrap(content), ByteBuffer.wrap(LINE_END)
    };
  }

  /** Returns the last chunk, which ends a chunked body. */
  static ByteBuffer lastChunk() {
    return ByteBuffer.wrap(LAST_CHUNK);
  }
}
