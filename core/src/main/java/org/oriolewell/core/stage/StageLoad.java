package org.oriolewell.core.stage;

import java.util.List;

/**
 * Load of a service in one region, as its dispatcher publishes it.
 *
 * @param service service
 * @param upstreams upstreams that take work; 0 if the region has none
 * @param callMillis time of a full call
 * @param residualMillis time until the next upstream is free
 * @param queued waiting and announced work by rank, ascending
 */
public record StageLoad(
    String service, int upstreams, long callMillis, long residualMillis, List<Queued> queued) {
  /** Rank of work that can't be on time any more; it runs after all other work. */
  public static final int LATE_RANK = 1 << 20;

  /** Copies the list. */
  public StageLoad {
    queued = List.copyOf(queued);
  }

  /**
   * Work at one rank.
   *
   * @param rank urgency
   * @param calls work that waits, as a number of full calls
   * @param announced work whose inputs are still being made, as a number of full calls
   */
  public record Queued(int rank, double calls, double announced) {}

  /**
   * Returns the expected time from the hand-over of work to its results: the wait for work of the
   * same or a more urgent rank, less what is done by then, and one call.
   *
   * <p>The answer is infinite if no upstream takes work.
   *
   * @param rank urgency of the work
   * @param offsetMillis time from now until the work is handed over
   */
  public double expectedMillis(int rank, double offsetMillis) {
    if (upstreams == 0) {
      return Double.POSITIVE_INFINITY;
    }
    double ahead = 0;
    for (Queued waiting : queued) {
      if (waiting.rank() <= rank) {
        ahead += waiting.calls() + (offsetMillis > 0 ? waiting.announced() : 0);
      }
    }
    double wait = residualMillis + ahead / upstreams * callMillis - offsetMillis;
    return Math.max(0, wait) + callMillis;
  }
}
