package org.oriolewell.gateway;

import java.io.ByteArrayOutputStream;

/**
 * Collects the body of an answer up to a limit, so that an upstream that sends bytes without end
 * can't exhaust the memory of the gateway. Not thread-safe.
 */
final class AnswerBody {
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final long maxBytes;
  private final String limitName;

  private AnswerBody(long maxBytes, String limitName) {
    this.maxBytes = maxBytes;
    this.limitName = limitName;
  }

  /**
   * Returns an empty body.
   *
   * @param maxBytes largest accepted size, in bytes
   * @param limitName setting or constant that holds the limit, named when it is exceeded
   */
  static AnswerBody withLimit(long maxBytes, String limitName) {
    return new AnswerBody(maxBytes, limitName);
  }

  /**
   * Appends a part of the body.
   *
   * @throws AnswerTooLargeException if the body would exceed its limit
   */
  void append(byte[] part) throws AnswerTooLargeException {
    if (bytes.size() + part.length > maxBytes) {
      throw new AnswerTooLargeException("the answer's body", maxBytes, limitName);
    }
    bytes.writeBytes(part);
  }

  /** Returns the size of the parts that were appended so far, in bytes. */
  int size() {
    return bytes.size();
  }

  /** Returns the parts that were appended so far. */
  byte[] toByteArray() {
    return bytes.toByteArray();
  }
}
