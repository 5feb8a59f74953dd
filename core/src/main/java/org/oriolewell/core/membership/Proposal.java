package org.oriolewell.core.membership;

/**
 * A host that the host list or the settings name as a member of the pool.
 *
 * @param name host name
 * @param zone name of the host's availability zone
 * @param region name of the host's region
 * @param leaving whether the host list says that the host is leaving
 */
public record Proposal(String name, String zone, String region, boolean leaving) {}
