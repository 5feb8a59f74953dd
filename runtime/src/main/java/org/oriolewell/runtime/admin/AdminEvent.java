package org.oriolewell.runtime.admin;

import java.util.logging.Level;
import org.oriolewell.runtime.log.LogEvent;

/** Log events of the admin API; those about changes form the audit log. */
public enum AdminEvent implements LogEvent {
  CHANGE_ACCEPTED(
      4020,
      Level.INFO,
      "An operator's command was accepted; the fields name the operator, the command, and the"
          + " objects before and after."),
  CHANGE_REJECTED(
      4021, Level.INFO, "An operator's command was rejected; the field detail says why."),
  CHANGE_UNKNOWN(
      4022,
      Level.WARNING,
      "The outcome of an operator's command is not known; it is settled by its command id."),
  ADMIN_UNAUTHORIZED(
      4023, Level.WARNING, "A call of the admin API had no valid token; check who calls."),
  ADMIN_FORBIDDEN(
      4024, Level.WARNING, "An operator's token lacks the right for a call of the admin API."),
  ADMIN_FAILED(4025, Level.SEVERE, "A call of the admin API failed; report it as a defect.");

  private final Description description;

  AdminEvent(int number, Level level, String meaning) {
    description = new Description(number, level, meaning);
  }

  @Override
  public Description description() {
    return description;
  }
}
