package org.oriolewell.core.result;

/**
 * How a finished stage went.
 *
 * @param stage name of the stage
 * @param upstream upstream that answered
 * @param durationMillis time from the first attempt to the answer, in milliseconds
 */
public record StageReport(String stage, String upstream, long durationMillis) {}
