package org.oriolewell.core.stage;

import java.util.List;

/**
 * Load of a service in one region, as its dispatcher publishes it.
 *
 * @param service service
 * @param upstreams upstreams that take work; 0 if the region has none
 * @param callMillis time of a full call
 * @param residualMillis time until the next upstream is free
 * @param queued waiting work by rank, ascending
 */
public record StageLoad(
    String service, int upstreams, long callMillis, long residualMillis, List<Queued> queued) {
  /** Copies the list. */
  public StageLoad {
    queued = List.copyOf(queued);
  }

  /**
   * Work that waits at one rank.
   *
   * @param rank urgency
   * @param calls waiting work as a number of full calls
   */
  public record Queued(int rank, double calls) {}

  /**
   * Returns the expected time from the hand-over of work to its results: the wait for work of the
   * same or a more urgent rank, and one call.
   *
   * <p>The answer is infinite if no upstream takes work.
   */
  public double expectedMillis(int rank) {
    if (upstreams == 0) {
      return Double.POSITIVE_INFINITY;
    }
    double ahead = 0;
    for (Queued waiting : queued) {
      ahead += waiting.calls();
    }
    return residualMillis + Math.floor(ahead / upstreams) * callMillis + callMillis;
  }
}
