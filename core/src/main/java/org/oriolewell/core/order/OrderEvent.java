package org.oriolewell.core.order;

import org.jspecify.annotations.Nullable;

/** What happens to an {@link OrderMachine}. */
public sealed interface OrderEvent {
  /** The configuration wants something else, or the same again. */
  record Configured(Wanted wanted) implements OrderEvent {}

  /** The engine reported its state. */
  record StateRead(EngineState state) implements OrderEvent {}

  /** The engine did not report its state. */
  record StateFailed() implements OrderEvent {}

  /**
   * The order key was read.
   *
   * @param claim its value; null if it is absent
   * @param revision its revision; 0 if it is absent
   */
  record ClaimRead(@Nullable OrderClaim claim, long revision) implements OrderEvent {}

  /** The order key was written. */
  record ClaimWritten() implements OrderEvent {}

  /** The order key has another revision than expected. */
  record ClaimConflict() implements OrderEvent {}

  /** The store gave no answer to a read or write of the order key. */
  record StoreFailed() implements OrderEvent {}

  /** The engine took the order; its state will show the effect. */
  record OrderTaken() implements OrderEvent {}

  /** The engine refused the order for an old fencing token or another state than expected. */
  record OrderRefused() implements OrderEvent {}

  /** It isn't known whether the engine took the order. */
  record OrderUnanswered() implements OrderEvent {}

  /** Time has passed. Due about every 100 ms. */
  record Tick() implements OrderEvent {}
}
