package org.oriolewell.core.overload;

import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decides at a request's first instant whether its stages can be done in time, and in which region.
 *
 * <p>Load pattern: a burst of one kind of request fills the queues of the stages within a second.
 * Work that cannot be on time any more would hold up work that can, and a stage that is spent on a
 * request that is given up later is wasted. A request that can't be on time in any region is
 * therefore refused before anything was spent on it.
 */
public final class StageAdmission {
  /** Shortest time after which a refused caller is asked to come back: about one call's time. */
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(250);

  /**
   * A region is left for another one only if that saves this much: a request that crosses regions
   * pays for its bytes and for two round trips.
   */
  private static final double CROSSING_MILLIS = 120;

  private StageAdmission() {}

  /**
   * A request that can't be on time is still served if it is expected within this part of the
   * caller's patience, and within {@link #LATE_MILLIS}: then there is hardly any other work.
   */
  private static final double LATE_SHARE = 0.4;

  private static final double LATE_MILLIS = 1500;

  /**
   * Expected time until the first byte of an answer.
   *
   * @param region region that would serve the request
   * @param own whether it is the region of this node
   * @param millis expected time in the order of the request's rank; infinite if the region can't
   *     serve the request
   * @param lateMillis expected time behind all other work
   */
  public record Estimate(String region, boolean own, double millis, double lateMillis) {
    private double cost(boolean late) {
      return (late ? lateMillis : millis) + (own ? 0 : CROSSING_MILLIS);
    }
  }

  /** The decision. */
  public sealed interface Decision {
    /**
     * The request is served.
     *
     * @param region region that serves it
     * @param expectedMillis expected time until the first byte
     * @param late whether it runs after all work that can be on time
     */
    record Accept(String region, double expectedMillis, boolean late) implements Decision {}

    /**
     * The request is refused.
     *
     * @param retryAfter time after which it probably can be served
     * @param expectedMillis expected time until the first byte if it were accepted
     */
    record Refuse(Duration retryAfter, double expectedMillis) implements Decision {}
  }

  /**
   * Decides.
   *
   * @param estimates one for each region
   * @param targetMillis time left in which the answer is on time
   * @param patienceMillis time left until the caller gives up
   */
  public static Decision decide(
      List<Estimate> estimates, double targetMillis, double patienceMillis) {
    Estimate best = cheapest(estimates, false);
    if (best != null && best.millis() <= targetMillis) {
      return new Decision.Accept(best.region(), best.millis(), false);
    }
    Estimate late = cheapest(estimates, true);
    if (late != null && late.lateMillis() <= Math.min(LATE_MILLIS, patienceMillis * LATE_SHARE)) {
      return new Decision.Accept(late.region(), late.lateMillis(), true);
    }
    double expected = best == null ? Double.POSITIVE_INFINITY : best.millis();
    double excess = Math.max(MIN_RETRY_AFTER.toMillis(), expected - targetMillis);
    double longest = Math.max(MIN_RETRY_AFTER.toMillis(), patienceMillis / 3);
    Duration retryAfter = Duration.ofMillis((long) Math.min(excess, longest));
    return new Decision.Refuse(retryAfter, expected);
  }

  private static @Nullable Estimate cheapest(List<Estimate> estimates, boolean late) {
    Estimate best = null;
    for (Estimate estimate : estimates) {
      double cost = estimate.cost(late);
      if (cost < (best == null ? Double.POSITIVE_INFINITY : best.cost(late))) {
        best = estimate;
      }
    }
    return best;
  }
}
