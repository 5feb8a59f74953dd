package org.oriolewell.core.config;

import java.util.List;

/**
 * A chain of stages.
 *
 * @param deadlineMillis deadline of requests that name none, in milliseconds
 * @param stages stages in the order they run, one to six
 */
public record PipelineSpec(long deadlineMillis, List<StageSpec> stages) {
  /** Copies the list; a missing one becomes empty. */
  public PipelineSpec {
    stages = stages == null ? List.of() : List.copyOf(stages);
  }
}
