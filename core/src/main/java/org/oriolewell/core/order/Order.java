package org.oriolewell.core.order;

/** An order to an engine. */
public sealed interface Order {
  /** Returns whether a state shows that the order took effect. */
  boolean visibleIn(EngineState state);

  /** Load a model. */
  record Load(Model model) implements Order {
    @Override
    public boolean visibleIn(EngineState state) {
      return state.models().contains(model);
    }
  }

  /** Unload a model. */
  record Unload(Model model) implements Order {
    @Override
    public boolean visibleIn(EngineState state) {
      return !state.models().contains(model) && !state.loading().contains(model);
    }
  }

  /** Change the role. */
  record Role(String role) implements Order {
    @Override
    public boolean visibleIn(EngineState state) {
      return state.role().equals(role);
    }
  }
}
