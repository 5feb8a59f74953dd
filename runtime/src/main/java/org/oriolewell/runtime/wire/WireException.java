package org.oriolewell.runtime.wire;

import java.io.IOException;

/**
 * Reports a frame that violates the protocol, or a connection that was closed. A connection on
 * which it occurs must be closed.
 */
public final class WireException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message says what is wrong with the frame. */
  public WireException(String message) {
    super(message);
  }

  /** Creates an exception whose message says what is wrong with the frame, with its cause. */
  public WireException(String message, Throwable cause) {
    super(message, cause);
  }
}
