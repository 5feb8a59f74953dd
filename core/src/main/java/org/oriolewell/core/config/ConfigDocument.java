package org.oriolewell.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.UpstreamSpec.ModelSpec;

/**
 * The whole configuration document at one version.
 *
 * @param schema version of the document format
 * @param version configuration version, which each accepted command increases by one
 * @param firms firms by name
 * @param workspaces workspaces by name
 * @param pools pools of upstreams by name
 * @param pipelines pipelines by name
 * @param upstreams settings of single upstreams, by host name
 * @param changes change log with the most recent changes, oldest first
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
  /** Version of the document format that this program reads and writes. */
  public static final int SCHEMA = 1;

  /** Copies the collections; null becomes an empty collection. */
  public ConfigDocument {
    firms = firms == null ? Map.of() : Map.copyOf(firms);
    workspaces = workspaces == null ? Map.of() : Map.copyOf(workspaces);
    pools = pools == null ? Map.of() : Map.copyOf(pools);
    pipelines = pipelines == null ? Map.of() : Map.copyOf(pipelines);
    upstreams = upstreams == null ? Map.of() : Map.copyOf(upstreams);
    changes = changes == null ? List.of() : List.copyOf(changes);
  }

  /** Returns the empty document with version 0, which precedes the first change. */
  public static ConfigDocument empty() {
    return new ConfigDocument(
        SCHEMA, 0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), List.of());
  }

  /**
   * Returns the settings that a host should have: its own, completed by those of its pool. If the
   * host names a model itself, its entries replace all entries of this model in the pool.
   */
  public UpstreamSpec wanted(String host, String poolName) {
    UpstreamSpec hostSpec = upstreams.getOrDefault(host, UpstreamSpec.DEFAULT);
    PoolSpec pool = pools.get(poolName);
    if (pool == null) {
      return hostSpec;
    }
    List<ModelSpec> models = new ArrayList<>(hostSpec.models());
    pool.models().stream()
        .filter(
            model ->
                hostSpec.models().stream()
                    .noneMatch(hostModel -> hostModel.model().equals(model.model())))
        .forEach(models::add);
    @Nullable String role = hostSpec.role() == null ? pool.role() : hostSpec.role();
    return new UpstreamSpec(hostSpec.draining(), role, models);
  }
}
