package org.oriolewell.entry;

import java.util.Optional;
import org.oriolewell.core.config.ConfigDocument;

/** Knows the configuration in force. */
@FunctionalInterface
interface ConfigSource {
  /** Returns the configuration, or empty before any is known. */
  Optional<ConfigDocument> current();
}
