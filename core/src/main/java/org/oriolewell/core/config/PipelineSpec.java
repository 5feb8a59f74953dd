package org.oriolewell.core.config;

import java.util.List;

/**
 * Configured settings of a pipeline, the chain of stages that its requests run through.
 *
 * @param deadlineMillis deadline of requests that specify none, in milliseconds
 * @param stages stages in the order in which they run, one to six
 */
public record PipelineSpec(long deadlineMillis, List<StageSpec> stages) {
  /** Copies the list of stages; null becomes an empty list. */
  public PipelineSpec {
    stages = stages == null ? List.of() : List.copyOf(stages);
  }
}
