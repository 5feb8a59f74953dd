package org.oriolewell.ctl;

import java.util.logging.Level;
import org.oriolewell.runtime.log.LogEvent;

/**
 * Log events of {@code oriolewellctl}, written to the standard error stream with {@code --debug}.
 */
enum CtlEvent implements LogEvent {
  REQUEST_ANSWERED(
      5001, Level.FINE, "The entry answered a request; the fields name its path and status."),
  REQUEST_FAILED(5002, Level.FINE, "The entry did not answer a request; the field cause says why."),
  COMMAND_REPEATED(
      5003,
      Level.FINE,
      "A command of unknown outcome was sent again with the same command id, to settle it.");

  private final Description description;

  CtlEvent(int number, Level level, String meaning) {
    description = new Description(number, level, meaning);
  }

  @Override
  public Description description() {
    return description;
  }
}
