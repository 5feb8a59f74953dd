package org.oriolewell.core.order;

import java.util.Set;

/**
 * What an engine reports of itself.
 *
 * @param version number that changes with the state; orders name it as the expected state
 * @param role present role
 * @param models loaded models
 * @param loading models that are being loaded
 * @param fencing highest fencing token that the engine has seen
 */
public record EngineState(
    long version, String role, Set<Model> models, Set<Model> loading, long fencing) {
  /** Copies the sets. */
  public EngineState {
    models = Set.copyOf(models);
    loading = Set.copyOf(loading);
  }
}
