package org.oriolewell.entry;

import java.util.logging.Level;
import org.oriolewell.runtime.log.LogEvent;

/** Log events of the entry. */
enum EntryEvent implements LogEvent {
  ROUTING_DECISION(
      2001,
      Level.INFO,
      "An upstream was chosen for a call; the fields name candidates, choice and reason."),
  REQUEST_REFUSED(
      2002, Level.FINE, "A request was refused; the fields name kind, outcome and detail."),
  REQUEST_UNKNOWN(
      2003,
      Level.WARNING,
      "A request ended with an unknown outcome; the caller should retry with the same key."),
  STALE_MESSAGE(
      2004,
      Level.FINE,
      "A message of an agent came late, twice or for another attempt and had no effect."),
  AGENT_CONNECTED(2010, Level.INFO, "An agent said HELLO and may receive calls."),
  AGENT_LOST(2011, Level.WARNING, "The connection to an agent was lost; it is dialed again."),
  AGENT_DEAD(
      2012,
      Level.WARNING,
      "An agent sent no PONG for the dead time; its connection was closed. Check its host."),
  AGENT_REFUSED(
      2013,
      Level.WARNING,
      "A process answered the dial with a wrong role or protocol version. Check the host list."),
  HOST_ENTRY_IGNORED(
      2015,
      Level.WARNING,
      "A host list entry is not usable, for example since its address is no IP number."),
  STOP_TIMED_OUT(
      2030, Level.WARNING, "Requests were still in flight when the time for a planned stop ended.");

  private final Description description;

  EntryEvent(int number, Level level, String meaning) {
    description = new Description(number, level, meaning);
  }

  @Override
  public Description description() {
    return description;
  }
}
