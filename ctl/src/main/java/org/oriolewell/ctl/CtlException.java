package org.oriolewell.ctl;

/** Ends the program with a message and an exit code. */
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
