package org.oriolewell.loadtool;

/**
 * A request to send.
 *
 * @param offsetNanos intended time from the start of the run
 * @param traffic what to send
 * @param index number of the request within its traffic, from 0
 * @param random number from which the request's input and key are made
 */
record Arrival(long offsetNanos, Workload.Traffic traffic, long index, long random) {}
