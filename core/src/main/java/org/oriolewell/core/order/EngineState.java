package org.oriolewell.core.order;

import java.util.Set;

/**
 * State that a model engine reports about itself.
 *
 * @param version number that changes whenever the state changes; an order names the version that it
 *     expects
 * @param role current role of the engine
 * @param models models that are loaded
 * @param loading models that are being loaded
 * @param fencingToken highest fencing token that the engine has received
 */
public record EngineState(
    long version, String role, Set<Model> models, Set<Model> loading, long fencingToken) {
  /** Makes unmodifiable copies of the sets. */
  public EngineState {
    models = Set.copyOf(models);
    loading = Set.copyOf(loading);
  }
}
