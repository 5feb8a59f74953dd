package org.oriolewell.core.stage;

import java.util.List;

/**
 * Load of a service's upstreams in one region, as the stage dispatcher reports it to the gateways.
 *
 * @param service name of the service
 * @param upstreams number of upstreams that accept calls; 0 if the region has none
 * @param callMillis expected duration of a call with a full batch, in milliseconds
 * @param residualMillis time until the next upstream can start a call, in milliseconds
 * @param queued queued and announced work by rank, most urgent first
 */
public record StageLoad(
    String service, int upstreams, long callMillis, long residualMillis, List<Queued> queued) {
  /** Rank of work that can no longer meet its target time; it runs after all other work. */
  public static final int LATE_RANK = 1 << 20;

  /** Copies the list of queued work. */
  public StageLoad {
    queued = List.copyOf(queued);
  }

  /**
   * Queued and announced work of one rank.
   *
   * @param rank urgency of the work; the lowest rank runs first
   * @param waitingCalls work that is ready and waits, as a number of calls with a full batch
   * @param announcedCalls work whose inputs are still being produced, as a number of calls with a
   *     full batch
   */
  public record Queued(int rank, double waitingCalls, double announcedCalls) {}

  /**
   * Returns the expected time in milliseconds from submitting work until its results exist: the
   * time to process queued work of the same or a more urgent rank, less the part processed before
   * the submission, plus one call.
   *
   * <p>The time is infinite if no upstream accepts calls.
   *
   * @param rank urgency of the work; the lowest rank runs first
   * @param offsetMillis time from now until the work is submitted, in milliseconds
   */
  public double expectedMillis(int rank, double offsetMillis) {
    if (upstreams == 0) {
      return Double.POSITIVE_INFINITY;
    }
    double callsAhead = 0;
    for (Queued rankLoad : queued) {
      if (rankLoad.rank() <= rank) {
        callsAhead += rankLoad.waitingCalls() + (offsetMillis > 0 ? rankLoad.announcedCalls() : 0);
      }
    }
    double waitMillis = residualMillis + callsAhead / upstreams * callMillis - offsetMillis;
    return Math.max(0, waitMillis) + callMillis;
  }
}
