package org.oriolewell.core.order;

import java.util.Set;

/**
 * Engine state that the configuration wants.
 *
 * @param role role that the engine shall have; empty to keep its role
 * @param models models that the engine shall have loaded; empty to keep its models, so that a
 *     configuration without models, such as that of a drain, unloads nothing
 */
public record WantedEngineState(String role, Set<Model> models) {
  /** Wanted state that leaves the engine unchanged. */
  public static final WantedEngineState UNCHANGED = new WantedEngineState("", Set.of());

  /** Makes an unmodifiable copy of the models. */
  public WantedEngineState {
    models = Set.copyOf(models);
  }
}
