package org.oriolewell.core.order;

/** Action that an {@link OrderMachine} returns for its process to perform. */
public sealed interface OrderAction {
  /** Read the engine's reported state. */
  record ReadState() implements OrderAction {}

  /** Read the claim on the engine's orders from the store. */
  record ReadClaim() implements OrderAction {}

  /** Write the claim by compare-and-swap; revision 0 requires that there is none. */
  record WriteClaim(long expectedRevision, OrderClaim claim) implements OrderAction {}

  /**
   * Send an order to the engine.
   *
   * @param order order to send
   * @param fencingToken fencing token of this process's claim
   * @param expectedVersion version of the engine state on which the order is based
   */
  record Send(Order order, long fencingToken, long expectedVersion) implements OrderAction {}

  /** Report that the engine's state shows the effect of an order. */
  record Confirmed(Order order) implements OrderAction {}

  /** Report that an order was refused or did not take effect in time, with the reason. */
  record Failed(Order order, String reason) implements OrderAction {}

  /** Report that another process holds a newer claim, so that this process must claim again. */
  record ClaimLost() implements OrderAction {}
}
