package org.oriolewell.standins;

import java.util.logging.Level;
import org.oriolewell.runtime.log.LogEvent;

/** Log events of the stand-ins. */
enum StandinEvent implements LogEvent {
  FAULT_SET(6001, Level.INFO, "A fault was put in force at run time."),
  FAULT_ENDED(6002, Level.INFO, "A fault was cleared, or its duration has passed."),
  EXECUTION_REPEATED(
      6010,
      Level.WARNING,
      "An operation ran again for the same key; find the caller that sent it."),
  ORDER_ACCEPTED(6020, Level.INFO, "The engine accepted an order."),
  ORDER_REFUSED(
      6021,
      Level.WARNING,
      "The engine refused an order; the field reason says which check failed."),
  LOAD_FAILED(6022, Level.WARNING, "The engine could not fetch weights; check the weight store."),
  RATE_EXCEEDED(
      6030, Level.FINE, "The store refused a call since its rate of reads or writes is used up."),
  LEASE_EXPIRED(6031, Level.INFO, "A lease of the store expired and its keys were removed."),
  HOSTS_CHANGED(6040, Level.INFO, "The host list was changed; callers see it after the lag.");

  private final Description description;

  StandinEvent(int number, Level level, String meaning) {
    description = new Description(number, level, meaning);
  }

  @Override
  public Description description() {
    return description;
  }
}
