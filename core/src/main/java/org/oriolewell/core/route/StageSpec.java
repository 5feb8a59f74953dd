package org.oriolewell.core.route;

import java.util.List;

/**
 * A stage that must be done before a request of a route can run.
 *
 * @param index index of the stage in its route, from 0
 * @param service name of the service that runs the stage
 * @param inputStages indexes of the stages whose results this stage reads
 * @param resultBytes approximate size of the result of one piece, in bytes
 */
public record StageSpec(int index, String service, List<Integer> inputStages, long resultBytes) {
  /** Copies the list of preceding stages. */
  public StageSpec {
    inputStages = List.copyOf(inputStages);
  }
}
