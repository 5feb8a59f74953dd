package org.oriolewell.agent;

import java.io.IOException;

/** Thrown when an engine's token stream violates the engine protocol. */
final class TokenLineException extends IOException {
  private static final long serialVersionUID = 1L;

  TokenLineException(String message) {
    super(message);
  }
}
