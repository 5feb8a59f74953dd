package org.oriolewell.core.config;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Configured settings of one upstream.
 *
 * @param draining whether the upstream receives no new work
 * @param role role of an engine, such as {@code generate}; null if the document sets none
 * @param models models, versions and adapters that an engine should have loaded
 */
public record UpstreamSpec(boolean draining, @Nullable String role, List<ModelSpec> models) {
  /** Settings of an upstream that the document doesn't name. */
  public static final UpstreamSpec DEFAULT = new UpstreamSpec(false, null, List.of());

  /**
   * A model that an engine should have loaded, in one version and with at most one adapter.
   *
   * @param model model name
   * @param version version of its weights
   * @param adapter name of an adapter of the model; null for none
   */
  public record ModelSpec(String model, String version, @Nullable String adapter) {}

  /** Copies the list of models; null becomes an empty list. */
  public UpstreamSpec {
    models = models == null ? List.of() : List.copyOf(models);
  }
}
