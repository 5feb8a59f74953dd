package org.oriolewell.agent;

import java.io.IOException;

/** Reports a token stream that breaks the engine's protocol. */
final class TokenLineException extends IOException {
  private static final long serialVersionUID = 1L;

  TokenLineException(String message) {
    super(message);
  }
}
