package org.oriolewell.loadtool;

import java.util.logging.Level;
import org.oriolewell.runtime.log.LogEvent;

/** Log events of the load tool. */
enum LoadEvent implements LogEvent {
  RUN_STARTED(7001, Level.INFO, "A run has started."),
  RUN_ENDED(7002, Level.INFO, "A run has ended; the report follows."),
  SENT_LATE(
      7010,
      Level.WARNING,
      "Requests left late, so the tool is the bottleneck; lower the rate or use more tools."),
  UNFINISHED(7011, Level.WARNING, "Requests had not ended when the run stopped waiting for them."),
  AUDIT_FAILED(
      7020,
      Level.SEVERE,
      "A key ran more than once, or an outcome contradicts the ledgers; see the report."),
  COUNTERS_UNAVAILABLE(
      7021, Level.WARNING, "Metrics could not be read; the report has no counters.");

  private final Description description;

  LoadEvent(int number, Level level, String meaning) {
    description = new Description(number, level, meaning);
  }

  @Override
  public Description description() {
    return description;
  }
}
