package org.oriolewell.runtime.config;

import java.util.logging.Level;
import org.oriolewell.runtime.log.LogEvent;

/** Log events of the distribution of the configuration; the text tells operators what to do. */
public enum ConfigEvent implements LogEvent {
  CONFIG_IN_FORCE(4001, Level.INFO, "A new configuration version is in force in this process."),
  CONFIG_REFUSED(
      4002,
      Level.SEVERE,
      "A configuration was refused as corrupt or of another schema; the last good one stays in"
          + " force and the stored value is left as it is. Check the versions of the programs."),
  CONFIG_STORE_BEHIND(
      4003,
      Level.SEVERE,
      "The store holds a lower version than the one in force; no change is accepted until the"
          + " stored document is restored from an export."),
  CONFIG_STORE_UNAVAILABLE(
      4004,
      Level.WARNING,
      "The store did not answer the configuration's watch; it is tried again, and changes still"
          + " arrive from peers."),
  CONFIG_WATCHER_STARTED(4005, Level.INFO, "This process now watches the document in the store."),
  CONFIG_WATCHER_STOPPED(
      4006, Level.INFO, "This process no longer watches the document in the store."),
  CONFIG_LISTENER_FAILED(
      4007, Level.SEVERE, "A listener of the configuration failed; report it as a defect.");

  private final Description description;

  ConfigEvent(int number, Level level, String meaning) {
    description = new Description(number, level, meaning);
  }

  @Override
  public Description description() {
    return description;
  }
}
