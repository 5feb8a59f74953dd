package org.oriolewell.runtime.http;

/** Reports that a request body exceeds the limit. The caller must send a smaller body. */
public final class BodyTooLargeException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param maxBodyBytes size of the largest accepted body, in bytes
   */
  public BodyTooLargeException(int maxBodyBytes) {
    super("the body is larger than " + maxBodyBytes + " bytes; send a smaller one");
  }
}
