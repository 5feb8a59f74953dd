package org.oriolewell.entry;

import java.util.Optional;
import org.oriolewell.core.config.ConfigDocument;

/** Supplies the configuration in force. */
@FunctionalInterface
interface ConfigSource {
  /** Returns the configuration in force, or empty if none has been received yet. */
  Optional<ConfigDocument> current();
}
