package org.oriolewell.gateway;

import java.io.IOException;

/**
 * An upstream sent more than the gateway accepts as one answer. The upstream is probably faulty; if
 * its answers are that large in ordinary operation, raise the limit that the message names.
 */
final class AnswerTooLargeException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the failure of one answer.
   *
   * @param what part of the answer that is too large
   * @param limitBytes largest accepted size, in bytes
   * @param limitName setting or constant that holds the limit
   */
  AnswerTooLargeException(String what, long limitBytes, String limitName) {
    super(what + " exceeds " + limitName + " = " + limitBytes + " bytes");
  }
}
