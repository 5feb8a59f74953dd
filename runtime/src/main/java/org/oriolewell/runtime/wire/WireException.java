package org.oriolewell.runtime.wire;

import java.io.IOException;

/** Reports a frame that breaks the protocol. The connection it came from must be closed. */
public final class WireException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message says what is wrong with the frame. */
  public WireException(String message) {
    super(message);
  }

  /** Creates an exception with its cause. */
  public WireException(String message, Throwable cause) {
    super(message, cause);
  }
}
