package org.oriolewell.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes and applies differences between documents as JSON, such as {@code
 * {"pools":{"encoders":{...},"old":null}}}, where null marks an object that is absent.
 */
final class ConfigObjects {
  private ConfigObjects() {}

  /** Returns the objects of {@code to} that differ in {@code from}; an absent one is null. */
  static ObjectNode difference(ConfigDocument from, ConfigDocument to) {
    ObjectNode result = ConfigJson.mapper().createObjectNode();
    addDifference(result, "firms", from.firms(), to.firms());
    addDifference(result, "workspaces", from.workspaces(), to.workspaces());
    addDifference(result, "pools", from.pools(), to.pools());
    addDifference(result, "pipelines", from.pipelines(), to.pipelines());
    addDifference(result, "upstreams", from.upstreams(), to.upstreams());
    return result;
  }

  private static <T> void addDifference(
      ObjectNode result, String objectKind, Map<String, T> from, Map<String, T> to) {
    ObjectNode changed = ConfigJson.mapper().createObjectNode();
    to.forEach(
        (name, value) -> {
          if (!value.equals(from.get(name))) {
            changed.set(name, ConfigJson.mapper().valueToTree(value));
          }
        });
    from.keySet().stream().filter(name -> !to.containsKey(name)).forEach(changed::putNull);
    if (!changed.isEmpty()) {
      result.set(objectKind, changed);
    }
  }

  /**
   * Returns a document in which the given objects are replaced; those given as null are removed.
   *
   * @throws JsonProcessingException if the JSON of an object doesn't match its type
   */
  static ConfigDocument patch(
      ConfigDocument base, JsonNode replacements, long version, List<ChangeRecord> changes)
      throws JsonProcessingException {
    return new ConfigDocument(
        base.schema(),
        version,
        patch(base.firms(), replacements.path("firms"), FirmSpec.class),
        patch(base.workspaces(), replacements.path("workspaces"), WorkspaceSpec.class),
        patch(base.pools(), replacements.path("pools"), PoolSpec.class),
        patch(base.pipelines(), replacements.path("pipelines"), PipelineSpec.class),
        patch(base.upstreams(), replacements.path("upstreams"), UpstreamSpec.class),
        changes);
  }

  private static <T> Map<String, T> patch(Map<String, T> base, JsonNode replacements, Class<T> type)
      throws JsonProcessingException {
    if (replacements.isEmpty()) {
      return base;
    }
    Map<String, T> result = new HashMap<>(base);
    for (Map.Entry<String, JsonNode> entry : replacements.properties()) {
      if (entry.getValue().isNull()) {
        result.remove(entry.getKey());
      } else {
        result.put(entry.getKey(), ConfigJson.mapper().treeToValue(entry.getValue(), type));
      }
    }
    return result;
  }
}
