package org.oriolewell.core.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/** Earlier versions of a document, made from the changes it keeps. */
public final class ConfigHistory {
  private ConfigHistory() {}

  /**
   * Returns an earlier version with the changes up to it, or empty if the version is higher than
   * the document's or the kept changes don't reach back to it.
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
    Optional<ChangeRecord> last =
        ChangeLog.find(document, document.version()).filter(ChangeLog::hasDetails);
    if (last.isEmpty()) {
      return Optional.empty();
    }
    List<ChangeRecord> earlier =
        document.changes().stream().filter(c -> c.version() < document.version()).toList();
    try {
      JsonNode before = ConfigJson.mapper().readTree(last.get().before());
      return Optional.of(ConfigObjects.patch(document, before, document.version() - 1, earlier));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns the objects of one version that differ in another, as JSON {@code {"before":...,
   * "after":...}}; an absent object is null.
   */
  public static JsonNode difference(ConfigDocument before, ConfigDocument after) {
    return ConfigJson.mapper()
        .createObjectNode()
        .<ObjectNode>set("before", ConfigObjects.difference(after, before))
        .set("after", ConfigObjects.difference(before, after));
  }
}
