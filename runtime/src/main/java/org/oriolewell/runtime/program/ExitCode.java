package org.oriolewell.runtime.program;

/** Exit codes of the programs' processes. */
public final class ExitCode {
  /** The program completed successfully. */
  public static final int OK = 0;

  /** The program failed to start or failed while running. */
  public static final int FAILED = 1;

  /** The command line is not valid. */
  public static final int USAGE = 2;

  /** The settings file can't be read or is not valid. */
  public static final int SETTINGS = 3;

  private ExitCode() {}
}
