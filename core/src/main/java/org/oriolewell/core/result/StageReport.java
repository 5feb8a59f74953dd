package org.oriolewell.core.result;

/**
 * Upstream and duration of an answered stage.
 *
 * @param stage name of the stage
 * @param upstream host name of the upstream that answered
 * @param durationMillis time from the first attempt to the answer, in milliseconds
 */
public record StageReport(String stage, String upstream, long durationMillis) {}
