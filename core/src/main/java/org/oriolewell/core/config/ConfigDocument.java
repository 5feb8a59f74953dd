package org.oriolewell.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.UpstreamSpec.ModelSpec;

/**
 * The whole configuration at one version.
 *
 * @param schema version of this format
 * @param version configuration version; each accepted change adds one
 * @param firms firms by name
 * @param workspaces workspaces by name
 * @param pools pools of upstreams by name
 * @param pipelines pipelines by name
 * @param upstreams settings of single upstreams, by host name
 * @param changes the most recent changes, oldest first
 */
public record ConfigDocument(
    int schema,
    long version,
    Map<String, FirmSpec> firms,
    Map<String, WorkspaceSpec> workspaces,
    Map<String, PoolSpec> pools,
    Map<String, PipelineSpec> pipelines,
    Map<String, UpstreamSpec> upstreams,
    List<ChangeRecord> changes) {
  /** Format version that this program writes. */
  public static final int SCHEMA = 1;

  /** Copies the collections; a missing one becomes empty. */
  public ConfigDocument {
    firms = firms == null ? Map.of() : Map.copyOf(firms);
    workspaces = workspaces == null ? Map.of() : Map.copyOf(workspaces);
    pools = pools == null ? Map.of() : Map.copyOf(pools);
    pipelines = pipelines == null ? Map.of() : Map.copyOf(pipelines);
    upstreams = upstreams == null ? Map.of() : Map.copyOf(upstreams);
    changes = changes == null ? List.of() : List.copyOf(changes);
  }

  /** Returns the document before any change, with version 0. */
  public static ConfigDocument empty() {
    return new ConfigDocument(
        SCHEMA, 0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), List.of());
  }

  /**
   * Returns what a host should be like: its own settings over those of its pool. A model that the
   * host names itself replaces all entries of this model in the pool.
   */
  public UpstreamSpec wanted(String host, String poolName) {
    UpstreamSpec own = upstreams.getOrDefault(host, UpstreamSpec.DEFAULT);
    PoolSpec pool = pools.get(poolName);
    if (pool == null) {
      return own;
    }
    List<ModelSpec> models = new ArrayList<>(own.models());
    pool.models().stream()
        .filter(model -> own.models().stream().noneMatch(o -> o.model().equals(model.model())))
        .forEach(models::add);
    @Nullable String role = own.role() == null ? pool.role() : own.role();
    return new UpstreamSpec(own.draining(), role, models);
  }
}
