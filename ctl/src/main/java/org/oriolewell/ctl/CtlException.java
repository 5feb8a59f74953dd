package org.oriolewell.ctl;

/**
 * A failure that ends the program: the message for the operator and the exit code of the process.
 */
final class CtlException extends Exception {
  private static final long serialVersionUID = 1L;

  private final int exitCode;

  CtlException(int exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  int exitCode() {
    return exitCode;
  }
}
