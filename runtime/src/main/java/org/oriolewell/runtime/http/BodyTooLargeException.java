package org.oriolewell.runtime.http;

/** Reports that a request body exceeds the limit. The caller must send less. */
public final class BodyTooLargeException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param limitBytes the largest accepted body, in bytes
   */
  public BodyTooLargeException(int limitBytes) {
    super("the body is larger than " + limitBytes + " bytes; send a smaller one");
  }
}
