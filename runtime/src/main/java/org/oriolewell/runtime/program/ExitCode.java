package org.oriolewell.runtime.program;

/** Exit codes of all programs. */
public final class ExitCode {
  /** The program did what it was asked to do. */
  public static final int OK = 0;

  /** The program failed while it ran. */
  public static final int FAILED = 1;

  /** The command line is wrong. */
  public static final int USAGE = 2;

  /** The settings file is wrong. */
  public static final int SETTINGS = 3;

  private ExitCode() {}
}
