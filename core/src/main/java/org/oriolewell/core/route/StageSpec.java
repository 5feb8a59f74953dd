package org.oriolewell.core.route;

import java.util.List;

/**
 * A stage that must be done before a request of a route can run.
 *
 * @param index number of the stage in its route, from 0
 * @param service service that runs the stage
 * @param after stages whose results this stage reads
 * @param resultBytes approximate size of one result, in bytes
 */
public record StageSpec(int index, String service, List<Integer> after, long resultBytes) {
  /** Copies the list. */
  public StageSpec {
    after = List.copyOf(after);
  }
}
