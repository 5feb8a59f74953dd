package org.oriolewell.core.overload;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Admission control for requests with stages: decides on a request's arrival whether its stages can
 * be done in time, and in which region.
 *
 * <p>A load burst on one route fills the queues of the stages within a second. Work that can no
 * longer be on time would delay work that can, and capacity used for a request whose caller gives
 * up later is wasted. A request that can't be on time in any region is therefore refused before any
 * capacity is used for it.
 */
public final class StageAdmission {
  /** Shortest time after which a refused caller may retry; about the duration of one stage call. */
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(250);

  /**
   * Time that another region must save to be preferred over the gateway's region: traffic between
   * regions is billed and adds two round trips.
   */
  private static final double OTHER_REGION_PENALTY_MILLIS = 120;

  private StageAdmission() {}

  /**
   * Share of the caller's patience within which a late request is still accepted, if the time is
   * also below {@link #MAX_LATE_MILLIS}; both hold only when there is hardly any other work.
   */
  private static final double MAX_LATE_PATIENCE_SHARE = 0.4;

  private static final double MAX_LATE_MILLIS = 1500;

  /**
   * Forecast of the time until the first byte of an answer if a region serves the request.
   *
   * @param region name of the region
   * @param ownRegion whether the region is the one of this gateway
   * @param expectedMillis expected milliseconds if the request's stages run by the request's rank;
   *     infinite if the region can't serve the request
   * @param lateExpectedMillis expected milliseconds if the request's stages run after all other
   *     work
   * @param addedCostMillis cost of choosing the region that isn't part of the request's own time,
   *     such as work that its engines do again at the expense of other requests
   */
  public record Estimate(
      String region,
      boolean ownRegion,
      double expectedMillis,
      double lateExpectedMillis,
      double addedCostMillis) {
    /** Creates an estimate without added cost. */
    public Estimate(
        String region, boolean ownRegion, double expectedMillis, double lateExpectedMillis) {
      this(region, ownRegion, expectedMillis, lateExpectedMillis, 0);
    }

    private double millis(boolean runsLate) {
      return runsLate ? lateExpectedMillis : expectedMillis;
    }

    private double costMillis(boolean runsLate) {
      return millis(runsLate) + addedCostMillis + (ownRegion ? 0 : OTHER_REGION_PENALTY_MILLIS);
    }
  }

  /** Decision whether a request is accepted, and where, or refused. */
  public sealed interface Decision {
    /**
     * Decision to serve the request.
     *
     * @param region region whose upstreams run the request's stages
     * @param expectedMillis expected milliseconds until the first byte of the answer
     * @param late whether the request's stages run after all work that can be on time
     */
    record Accept(String region, double expectedMillis, boolean late) implements Decision {}

    /**
     * Decision to refuse the request.
     *
     * @param retryAfter time after which a retry is probably accepted
     * @param expectedMillis expected milliseconds until the first byte of the answer if the request
     *     were accepted
     */
    record Refuse(Duration retryAfter, double expectedMillis) implements Decision {}
  }

  /**
   * Decides whether a request is accepted, and which region serves it: the cheapest of those that
   * can be on time.
   *
   * @param estimates forecasts, one for each region
   * @param targetMillis milliseconds from now within which the first byte is on time
   * @param patienceMillis milliseconds from now until the caller gives up
   */
  public static Decision decide(
      List<Estimate> estimates, double targetMillis, double patienceMillis) {
    Estimate onTime = cheapest(estimates, false, targetMillis);
    if (onTime != null) {
      return new Decision.Accept(onTime.region(), onTime.expectedMillis(), false);
    }
    double maxLateMillis = Math.min(MAX_LATE_MILLIS, patienceMillis * MAX_LATE_PATIENCE_SHARE);
    Estimate late = cheapest(estimates, true, maxLateMillis);
    if (late != null) {
      return new Decision.Accept(late.region(), late.lateExpectedMillis(), true);
    }
    double expectedMillis =
        estimates.stream()
            .mapToDouble(Estimate::expectedMillis)
            .min()
            .orElse(Double.POSITIVE_INFINITY);
    double missedMillis = Math.max(MIN_RETRY_AFTER.toMillis(), expectedMillis - targetMillis);
    double maxRetryAfterMillis = Math.max(MIN_RETRY_AFTER.toMillis(), patienceMillis / 3);
    Duration retryAfter = Duration.ofMillis((long) Math.min(missedMillis, maxRetryAfterMillis));
    return new Decision.Refuse(retryAfter, expectedMillis);
  }

  /**
   * Returns the cheapest region for a request that is accepted in any case; empty if there is none.
   */
  public static Optional<String> cheapestRegion(List<Estimate> estimates) {
    return Optional.ofNullable(cheapest(estimates, false, Double.POSITIVE_INFINITY))
        .map(Estimate::region);
  }

  private static @Nullable Estimate cheapest(
      List<Estimate> estimates, boolean runsLate, double maxMillis) {
    Estimate cheapest = null;
    for (Estimate estimate : estimates) {
      boolean cheaper =
          cheapest == null || estimate.costMillis(runsLate) < cheapest.costMillis(runsLate);
      if (estimate.millis(runsLate) <= maxMillis && cheaper) {
        cheapest = estimate;
      }
    }
    return cheapest;
  }
}
