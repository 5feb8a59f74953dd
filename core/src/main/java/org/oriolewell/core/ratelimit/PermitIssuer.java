package org.oriolewell.core.ratelimit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Issues the permits for requests to upstreams that have named a limit. One gateway issues all
 * permits for an upstream.
 *
 * <p>Load pattern: an upstream in need takes fewer requests a second than there are gateways.
 * Shares of the limit that each gateway keeps for itself (the plain baseline) leave most of the
 * limit unused, since demand differs between gateways, and exceed a small limit as soon as each
 * gateway rounds its share up to one request. A token bucket at one gateway follows the demand.
 *
 * <p>A bucket starts empty, so that a restart of the gateway or a change of the issuer adds no
 * requests. Urgent requests go first: others leave a part of the bucket to them. Times are
 * monotonic, in nanoseconds. Not thread-safe.
 */
public final class PermitIssuer {
  /** Time for which tokens are collected while there is no demand. */
  private static final Duration BURST_TIME = Duration.ofMillis(300);

  /**
   * Lowest rate of permits for an upstream, in permits a second. The answers to these requests are
   * the only way to learn that the limit has ended.
   */
  private static final double MIN_RATE = 0.2;

  /** Part of a bucket that is left to the most urgent requests. */
  private static final double URGENT_SHARE = 0.2;

  /** Time for which the rank of a request counts as the most urgent one in demand. */
  private static final Duration URGENT_DEMAND_TIME = Duration.ofSeconds(2);

  /** Tolerance for sums of fractions of tokens. */
  private static final double ROUNDING = 1e-9;

  private static final class Bucket {
    private double tokens;
    private long refilledAt;
    private int urgentRank = Integer.MAX_VALUE;
    private long urgentAt;
  }

  /**
   * Answer to a request for a permit.
   *
   * @param granted whether the request may be sent at once
   * @param retryAfter time after which a permit may be granted; zero if one was granted
   */
  public record Permit(boolean granted, Duration retryAfter) {}

  private final Map<String, Bucket> bucketsByUpstream = new HashMap<>();

  private PermitIssuer() {}

  /** Returns an issuer that has issued no permits. */
  public static PermitIssuer create() {
    return new PermitIssuer();
  }

  /**
   * Issues a permit for one request, if the limit allows it.
   *
   * @param upstream identifies one start of one upstream
   * @param perSecond limit of the upstream in requests a second
   * @param rank urgency of the request; the lowest rank is the most urgent
   */
  public Permit issue(String upstream, double perSecond, int rank, long now) {
    Duration missingTime = missingTime(upstream, perSecond, rank, now);
    if (!missingTime.isZero()) {
      return new Permit(false, missingTime);
    }
    refilledBucket(upstream, perSecond, now).tokens -= 1;
    return new Permit(true, Duration.ZERO);
  }

  /**
   * Returns the time after which a permit can be issued for a request; zero if it can be issued
   * now.
   *
   * @param upstream identifies one start of one upstream
   * @param perSecond limit of the upstream in requests a second
   * @param rank urgency of the request; the lowest rank is the most urgent
   */
  public Duration missingTime(String upstream, double perSecond, int rank, long now) {
    Bucket bucket = refilledBucket(upstream, perSecond, now);
    if (rank <= bucket.urgentRank || now - bucket.urgentAt > URGENT_DEMAND_TIME.toNanos()) {
      bucket.urgentRank = rank;
      bucket.urgentAt = now;
    }
    double capacity = capacity(perSecond);
    double neededTokens =
        rank <= bucket.urgentRank ? 1 : Math.min(capacity, 1 + URGENT_SHARE * capacity);
    double missingTokens = neededTokens - bucket.tokens;
    return missingTokens <= ROUNDING
        ? Duration.ZERO
        : Duration.ofNanos((long) Math.ceil(missingTokens / rate(perSecond) * 1e9));
  }

  private Bucket refilledBucket(String upstream, double perSecond, long now) {
    Bucket bucket = bucketsByUpstream.get(upstream);
    if (bucket == null) {
      bucket = new Bucket();
      bucket.refilledAt = now;
      bucketsByUpstream.put(upstream, bucket);
    }
    double elapsedSeconds = Math.max(0, now - bucket.refilledAt) / 1e9;
    bucket.tokens = Math.min(capacity(perSecond), bucket.tokens + elapsedSeconds * rate(perSecond));
    bucket.refilledAt = Math.max(bucket.refilledAt, now);
    return bucket;
  }

  private static double rate(double perSecond) {
    return Math.max(MIN_RATE, perSecond);
  }

  private static double capacity(double perSecond) {
    return 1 + rate(perSecond) * BURST_TIME.toNanos() / 1e9;
  }

  /** Forgets the upstreams that are no longer listed. */
  public void retain(Predicate<String> listed) {
    bucketsByUpstream.keySet().removeIf(upstream -> !listed.test(upstream));
  }
}
