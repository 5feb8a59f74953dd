package org.oriolewell.runtime.log;

import java.util.logging.Level;

/**
 * A numbered log event. Each module declares its events in one enum that implements this interface;
 * docs/log-events.md lists all of them, and a test compares the two.
 *
 * <p>Numbers: runtime 1xxx, entry 2xxx, agent 3xxx, configuration 4xxx, ctl 5xxx, standins 6xxx,
 * loadtool 7xxx, gateway 8xxx.
 */
public interface LogEvent {
  /** Returns the number, unique across all modules. */
  int number();

  /** Returns the level at which the event is written. */
  Level level();

  /** Returns the name, in upper case with underscores, as an enum gives it. */
  String name();

  /** Returns one sentence that says what happened and, for problems, what to do. */
  String meaning();

  /** Returns the identifier as written in a log line, such as {@code OW-2001}. */
  default String id() {
    return "OW-" + number();
  }
}
