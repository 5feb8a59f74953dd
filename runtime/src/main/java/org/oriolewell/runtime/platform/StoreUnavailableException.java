package org.oriolewell.runtime.platform;

/** Reports that the key-value service gave no answer, so the effect of a write is not known. */
public final class StoreUnavailableException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception; the message names the failed call and the remedy. */
  public StoreUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }

  /** Creates an exception without a cause. */
  public StoreUnavailableException(String message) {
    super(message);
  }
}
