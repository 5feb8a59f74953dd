package org.oriolewell.ctl;

import org.oriolewell.runtime.program.ExitCode;

/** Exit codes of the program. */
final class CtlExitCode {
  /** Every statement did what it says. */
  static final int OK = ExitCode.OK;

  /** The entry could not be reached, or failed. */
  static final int FAILED = ExitCode.FAILED;

  /** The command line or a statement is wrong. */
  static final int USAGE = ExitCode.USAGE;

  /** A file could not be read, or the token was refused. */
  static final int SETTINGS = ExitCode.SETTINGS;

  /** A command was rejected; nothing was changed. */
  static final int REJECTED = 4;

  /** The outcome of a command is not known. */
  static final int UNKNOWN = 5;

  /** An answer is partial, or a version was not in force everywhere in time. */
  static final int INCOMPLETE = 6;

  private CtlExitCode() {}
}
