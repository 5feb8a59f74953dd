package org.oriolewell.core.routing;

/**
 * Availability zone and region in which a process runs.
 *
 * @param zone name of the availability zone, unique over all regions
 * @param region name of the region
 */
public record Place(String zone, String region) {}
