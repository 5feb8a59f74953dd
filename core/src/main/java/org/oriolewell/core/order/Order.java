package org.oriolewell.core.order;

/** An order that a process sends to a model engine. */
public sealed interface Order {
  /** Returns whether the engine's reported state shows that the order took effect. */
  boolean visibleIn(EngineState state);

  /** Order to load a model. */
  record Load(Model model) implements Order {
    @Override
    public boolean visibleIn(EngineState state) {
      return state.models().contains(model);
    }
  }

  /** Order to unload a model. */
  record Unload(Model model) implements Order {
    @Override
    public boolean visibleIn(EngineState state) {
      return !state.models().contains(model) && !state.loading().contains(model);
    }
  }

  /** Order to change the engine's role. */
  record Role(String role) implements Order {
    @Override
    public boolean visibleIn(EngineState state) {
      return state.role().equals(role);
    }
  }
}
