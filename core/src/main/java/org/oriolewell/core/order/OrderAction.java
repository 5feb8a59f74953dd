package org.oriolewell.core.order;

/** What an {@link OrderMachine} asks its program to do. */
public sealed interface OrderAction {
  /** Read the engine's state. */
  record ReadState() implements OrderAction {}

  /** Read the order key. */
  record ReadClaim() implements OrderAction {}

  /** Write the order key by compare-and-swap; revision 0 means that it must be absent. */
  record WriteClaim(long expectedRevision, OrderClaim claim) implements OrderAction {}

  /**
   * Send an order to the engine.
   *
   * @param fencing fencing token of this process
   * @param expectedVersion state version that the order was decided on
   */
  record Send(Order order, long fencing, long expectedVersion) implements OrderAction {}

  /** Report that an order took effect. */
  record Confirmed(Order order) implements OrderAction {}

  /** Report that an order did not take effect. */
  record Failed(Order order, String reason) implements OrderAction {}

  /** Report that the claim was lost. */
  record ClaimLost() implements OrderAction {}
}
