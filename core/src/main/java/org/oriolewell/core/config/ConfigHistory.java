package org.oriolewell.core.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/** Reconstructs earlier versions of a document from its change log. */
public final class ConfigHistory {
  private ConfigHistory() {}

  /**
   * Returns the document at an earlier version, or empty if that version is above the document's
   * version or the change log doesn't reach back to it.
   */
  public static Optional<ConfigDocument> at(ConfigDocument document, long version) {
    if (version > document.version() || version < 0) {
      return Optional.empty();
    }
    ConfigDocument result = document;
    while (result.version() > version) {
      Optional<ConfigDocument> previous = previous(result);
      if (previous.isEmpty()) {
        return previous;
      }
      result = previous.get();
    }
    return Optional.of(result);
  }

  private static Optional<ConfigDocument> previous(ConfigDocument document) {
    Optional<ChangeRecord> lastChange =
        ChangeLog.find(document, document.version()).filter(ChangeLog::hasDetails);
    if (lastChange.isEmpty()) {
      return Optional.empty();
    }
    List<ChangeRecord> earlierChanges =
        document.changes().stream()
            .filter(change -> change.version() < document.version())
            .toList();
    try {
      JsonNode before = ConfigJson.mapper().readTree(lastChange.get().before());
      return Optional.of(
          ConfigObjects.patch(document, before, document.version() - 1, earlierChanges));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns the objects that differ between two versions of the document, as JSON {@code
   * {"before":..., "after":...}}; an object that a version doesn't have is null.
   */
  public static JsonNode difference(ConfigDocument before, ConfigDocument after) {
    return ConfigJson.mapper()
        .createObjectNode()
        .<ObjectNode>set("before", ConfigObjects.difference(after, before))
        .set("after", ConfigObjects.difference(before, after));
  }
}
