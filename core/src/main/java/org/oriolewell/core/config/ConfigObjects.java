package org.oriolewell.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Differences between documents as JSON: {@code {"pools":{"encoders":{...},"old":null}}}, where
 * null marks an object that is absent.
 */
final class ConfigObjects {
  private ConfigObjects() {}

  /** Returns those objects of {@code to} that differ from {@code from}. */
  static ObjectNode difference(ConfigDocument from, ConfigDocument to) {
    ObjectNode result = ConfigJson.mapper().createObjectNode();
    add(result, "firms", from.firms(), to.firms());
    add(result, "workspaces", from.workspaces(), to.workspaces());
    add(result, "pools", from.pools(), to.pools());
    add(result, "pipelines", from.pipelines(), to.pipelines());
    add(result, "upstreams", from.upstreams(), to.upstreams());
    return result;
  }

  private static <T> void add(
      ObjectNode result, String kind, Map<String, T> from, Map<String, T> to) {
    ObjectNode changed = ConfigJson.mapper().createObjectNode();
    to.forEach(
        (name, value) -> {
          if (!value.equals(from.get(name))) {
            changed.set(name, ConfigJson.mapper().valueToTree(value));
          }
        });
    from.keySet().stream().filter(name -> !to.containsKey(name)).forEach(changed::putNull);
    if (!changed.isEmpty()) {
      result.set(kind, changed);
    }
  }

  /**
   * Returns a document with the given objects put in place.
   *
   * @throws JsonProcessingException if an object isn't of its kind
   */
  static ConfigDocument patch(
      ConfigDocument base, JsonNode objects, long version, List<ChangeRecord> changes)
      throws JsonProcessingException {
    return new ConfigDocument(
        base.schema(),
        version,
        patch(base.firms(), objects.path("firms"), FirmSpec.class),
        patch(base.workspaces(), objects.path("workspaces"), WorkspaceSpec.class),
        patch(base.pools(), objects.path("pools"), PoolSpec.class),
        patch(base.pipelines(), objects.path("pipelines"), PipelineSpec.class),
        patch(base.upstreams(), objects.path("upstreams"), UpstreamSpec.class),
        changes);
  }

  private static <T> Map<String, T> patch(Map<String, T> base, JsonNode objects, Class<T> type)
      throws JsonProcessingException {
    if (objects.isEmpty()) {
      return base;
    }
    Map<String, T> result = new HashMap<>(base);
    for (Map.Entry<String, JsonNode> entry : objects.properties()) {
      if (entry.getValue().isNull()) {
        result.remove(entry.getKey());
      } else {
        result.put(entry.getKey(), ConfigJson.mapper().treeToValue(entry.getValue(), type));
      }
    }
    return result;
  }
}
