package org.oriolewell.core.routing;

/**
 * Where a process runs.
 *
 * @param zone availability zone, unique over all regions
 * @param region region
 */
public record Place(String zone, String region) {}
