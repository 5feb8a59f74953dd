package org.oriolewell.runtime.log;

import java.util.logging.Level;

/** Log events of the runtime module, which all programs share. */
public enum RuntimeEvent implements LogEvent {
  LISTENING(1001, Level.INFO, "A port is bound; the field address names it."),
  STARTED(1002, Level.INFO, "The program has started."),
  STOPPING(1003, Level.INFO, "A planned stop has begun; work in flight is finished first."),
  STOPPED(1004, Level.INFO, "The program has stopped."),
  LINES_DROPPED(
      1005,
      Level.WARNING,
      "The reader of the output stalled and log lines were lost; the field lines counts them."),
  CONNECTION_OPENED(1010, Level.FINE, "A connection between processes was opened."),
  CONNECTION_CLOSED(1011, Level.FINE, "A connection between processes was closed."),
  CONNECTION_PROTOCOL_ERROR(
      1012,
      Level.WARNING,
      "A peer sent a malformed or oversized frame; its connection was closed. Check its version."),
  STORE_UNAVAILABLE(
      1020,
      Level.WARNING,
      "The key-value service did not answer; the process goes on with what it knows."),
  HOST_LIST_UNAVAILABLE(
      1021, Level.WARNING, "The host list did not answer; the last known list stays in use."),
  CERTIFICATES_LOADED(1040, Level.INFO, "Replaced certificate files were loaded."),
  CERTIFICATES_REFUSED(
      1041,
      Level.SEVERE,
      "Replaced certificate files are malformed; the old ones stay in use. Mend the files."),
  TASK_FAILED(
      1031, Level.SEVERE, "A task of the event loop failed; report it as a defect with its place."),
  HANDLER_FAILED(1030, Level.SEVERE, "An HTTP handler failed; report it as a defect."),
  BODIES_REFUSED(
      1051,
      Level.WARNING,
      "Request bodies were given up, since they hold as much memory as they may;"
          + " look for callers that stop short."),
  TASKS_OVERLAP(
      1050,
      Level.SEVERE,
      "A task of an event loop was to run beside another one and waited; report it as a defect.");

  private final Description description;

  RuntimeEvent(int number, Level level, String meaning) {
    description = new Description(number, level, meaning);
  }

  @Override
  public Description description() {
    return description;
  }
}
