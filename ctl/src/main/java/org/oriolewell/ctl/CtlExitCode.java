package org.oriolewell.ctl;

import org.oriolewell.runtime.program.ExitCode;

/** Exit codes of the process {@code oriolewellctl}; the help text lists them. */
final class CtlExitCode {
  /** Every statement succeeded. */
  static final int OK = ExitCode.OK;

  /** The entry could not be reached, or failed to process the request. */
  static final int FAILED = ExitCode.FAILED;

  /** The command line or a statement is invalid. */
  static final int USAGE = ExitCode.USAGE;

  /** A file could not be read, or the entry refused the bearer token. */
  static final int SETTINGS = ExitCode.SETTINGS;

  /** The entry rejected a command; the configuration is unchanged. */
  static final int REJECTED = 4;

  /** Whether the entry applied a command is unknown. */
  static final int OUTCOME_UNKNOWN = 5;

  /**
   * A query answer lacks some processes, or a configuration version was not in force in all
   * processes before the timeout.
   */
  static final int INCOMPLETE = 6;

  private CtlExitCode() {}
}
