package org.oriolewell.core.order;

/**
 * Claim of a process to send orders to an engine, kept in the store and changed only by
 * compare-and-swap.
 *
 * @param fencing fencing token of the claim's owner, higher than that of each earlier claim
 * @param owner id of the process that may send orders
 * @param writeId unique id of the write of this claim; finding it in the store shows that a write
 *     without an answer took effect
 * @param wanted engine state that the owner's orders lead to
 */
public record OrderClaim(long fencing, String owner, String writeId, WantedEngineState wanted) {}
