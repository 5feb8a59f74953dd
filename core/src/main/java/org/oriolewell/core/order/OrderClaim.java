package org.oriolewell.core.order;

/**
 * The order key of an engine in the store, changed only by compare-and-swap.
 *
 * @param fencing fencing token of the present owner; each claim adds at least one
 * @param owner process that gives orders
 * @param writeId identity of the write, which settles a lost answer
 * @param wanted what the owner brings the engine to
 */
public record OrderClaim(long fencing, String owner, String writeId, Wanted wanted) {}
