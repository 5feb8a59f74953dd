package org.oriolewell.runtime.log;

import java.util.logging.Level;

/**
 * A numbered log event. Each module declares its events in one enum that implements this interface;
 * docs/log-events.md lists all of them, and a test compares the two.
 *
 * <p>Number ranges of the modules: runtime 1xxx, entry 2xxx, agent 3xxx, configuration 4xxx, ctl
 * 5xxx, standins 6xxx, loadtool 7xxx, gateway 8xxx.
 */
public interface LogEvent {
  /**
   * Number, level and meaning of a log event.
   *
   * @param number number of the event, unique across all modules
   * @param level level at which the event is written
   * @param meaning one sentence that says what happened and, for problems, what to do
   */
  record Description(int number, Level level, String meaning) {}

  /** Returns the number, level and meaning of the event. */
  Description description();

  /** Returns the name of the event, which is the name of its enum constant. */
  String name();

  /** Returns the number of the event, unique across all modules. */
  default int number() {
    return description().number();
  }

  /** Returns the level at which the event is written. */
  default Level level() {
    return description().level();
  }

  /** Returns one sentence that says what happened and, for problems, what to do. */
  default String meaning() {
    return description().meaning();
  }

  /** Returns the identifier of the event in log lines, such as {@code OW-2001}. */
  default String id() {
    return "OW-" + number();
  }
}
