package org.oriolewell.core.membership;

/**
 * One upstream of a pool with its state as seen by this process.
 *
 * @param name host name, the same after restarts
 * @param incarnation identifier of the upstream's process start, from HELLO; empty before the first
 *     connection
 * @param zone name of the availability zone
 * @param region name of the region
 * @param state state derived from this process's connection, the host list and the configuration
 */
public record Member(
    String name, String incarnation, String zone, String region, MemberState state) {}
