package org.oriolewell.core.config;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one upstream.
 *
 * @param draining whether it must receive no new work
 * @param role role of an engine, such as {@code generate}; null to leave it as it is
 * @param models models, versions and adapters that an engine should have
 */
public record UpstreamSpec(boolean draining, @Nullable String role, List<ModelSpec> models) {
  /** Settings of an upstream that the document doesn't name. */
  public static final UpstreamSpec DEFAULT = new UpstreamSpec(false, null, List.of());

  /**
   * A model on an engine.
   *
   * @param model model name
   * @param version version of its weights
   * @param adapter adapter; null for none
   */
  public record ModelSpec(String model, String version, @Nullable String adapter) {}

  /** Copies the list; a missing one becomes empty. */
  public UpstreamSpec {
    models = models == null ? List.of() : List.copyOf(models);
  }
}
