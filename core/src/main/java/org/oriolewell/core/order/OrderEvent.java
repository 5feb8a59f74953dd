package org.oriolewell.core.order;

import org.jspecify.annotations.Nullable;

/** Input event of an {@link OrderMachine}, given to {@link OrderMachine#on}. */
public sealed interface OrderEvent {
  /** A configuration arrived; the wanted engine state may differ from before. */
  record Configured(WantedEngineState wanted) implements OrderEvent {}

  /** The engine's state was read. */
  record StateRead(EngineState state) implements OrderEvent {}

  /** The engine's state could not be read. */
  record StateFailed() implements OrderEvent {}

  /**
   * The claim on the engine's orders was read from the store.
   *
   * @param claim the stored claim; null if there is none
   * @param revision store revision of the claim; 0 if there is none
   */
  record ClaimRead(@Nullable OrderClaim claim, long revision) implements OrderEvent {}

  /** The store acknowledged the write of the claim. */
  record ClaimWritten() implements OrderEvent {}

  /** The store refused the write of the claim, which has another revision than expected. */
  record ClaimConflict() implements OrderEvent {}

  /** The store gave no answer to a read or write of the claim. */
  record StoreFailed() implements OrderEvent {}

  /** The engine accepted the order; a later state will show its effect. */
  record OrderTaken() implements OrderEvent {}

  /** The engine refused the order: old fencing token, or another state version than expected. */
  record OrderRefused() implements OrderEvent {}

  /** The engine gave no answer, so it isn't known whether it accepted the order. */
  record OrderUnanswered() implements OrderEvent {}

  /** Periodic timer event, sent about every 100 ms. */
  record Tick() implements OrderEvent {}
}
