package org.oriolewell.core.deadline;

/**
 * Identifies a stage of a pipeline whose durations are measured together.
 *
 * @param pipeline name of the pipeline
 * @param stage name of the stage in its pipeline
 * @param minNanos least time the stage needs according to the configuration, in nanoseconds
 */
public record StageKey(String pipeline, String stage, long minNanos) {}
