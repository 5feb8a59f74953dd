package org.oriolewell.core.membership;

/**
 * A host that the host list or settings name as a member of the pool.
 *
 * @param name host name
 * @param zone availability zone
 * @param region region
 * @param leaving whether the list says that the host is leaving
 */
public record Proposal(String name, String zone, String region, boolean leaving) {}
