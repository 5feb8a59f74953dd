package org.oriolewell.runtime.platform;

/**
 * Reports that the key-value service didn't answer, so a write may or may not have taken effect.
 */
public final class StoreUnavailableException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message says what failed and what the operator can do. */
  public StoreUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }

  /** Creates an exception whose message says what failed and what the operator can do. */
  public StoreUnavailableException(String message) {
    super(message);
  }
}
