package org.oriolewell.core.deadline;

/**
 * A stage whose times are measured together.
 *
 * @param pipeline pipeline
 * @param stage name of the stage in its pipeline
 * @param minNanos shortest time the stage needs according to the configuration, in nanoseconds
 */
public record StageKey(String pipeline, String stage, long minNanos) {}
