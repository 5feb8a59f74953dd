package org.oriolewell.core.membership;

/**
 * One upstream of a pool as this process sees it.
 *
 * @param name host name, stable over restarts
 * @param incarnation incarnation from HELLO; empty before the first connection
 * @param zone availability zone
 * @param region region
 * @param state what this process knows about it
 */
public record Member(
    String name, String incarnation, String zone, String region, MemberState state) {}
