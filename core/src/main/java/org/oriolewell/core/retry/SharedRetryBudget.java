package org.oriolewell.core.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * One gateway's share of a retry budget for the whole fleet of gateways: in each time window, a
 * service gets no more retries than a share of its first attempts plus a fixed number.
 *
 * <p>A failing upstream makes all gateways retry at once, and a larger fleet must not retry more.
 * The gateways don't coordinate: each adds tokens for its own first attempts, and its share of the
 * fixed number, which is divided by the number of gateways that it knows.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class SharedRetryBudget {
  /** Used share of the fleet's retry ratio; less than 1 since gateways' windows aren't aligned. */
  private static final double USED_RATIO_SHARE = 0.6;

  /**
   * Share of the fixed number of retries that is added per window. A gateway may have saved as many
   * tokens before a window, so a window can see twice this share; the rest is for gateways that
   * restart.
   */
  private static final double USED_SLACK_SHARE = 0.4;

  private static final class Bucket {
    private double tokens;
    private long refilledAt = Long.MIN_VALUE;
  }

  private final double tokensPerAttempt;
  private final double fleetSlackPerWindow;
  private final Duration window;
  private final IntSupplier gatewayCount;
  private final Map<String, Bucket> bucketByService = new HashMap<>();

  private SharedRetryBudget(
      double tokensPerAttempt,
      double fleetSlackPerWindow,
      Duration window,
      IntSupplier gatewayCount) {
    this.tokensPerAttempt = tokensPerAttempt * USED_RATIO_SHARE;
    this.fleetSlackPerWindow = fleetSlackPerWindow * USED_SLACK_SHARE;
    this.window = window;
    this.gatewayCount = gatewayCount;
  }

  /**
   * Returns a budget whose fixed number of retries is available at once.
   *
   * @param tokensPerAttempt retries of the fleet allowed for each first attempt
   * @param fleetSlackPerWindow retries of the fleet allowed in each window without first attempts
   * @param window length of the time window in which the fleet's limit on retries holds
   * @param gatewayCount supplies the number of gateways, including this one
   */
  public static SharedRetryBudget create(
      double tokensPerAttempt,
      double fleetSlackPerWindow,
      Duration window,
      IntSupplier gatewayCount) {
    return new SharedRetryBudget(tokensPerAttempt, fleetSlackPerWindow, window, gatewayCount);
  }

  /** Records the first attempt of a request to a service, which adds tokens for retries. */
  public void attempted(String service) {
    Bucket bucket = bucket(service);
    bucket.tokens = Math.min(capacity(), bucket.tokens + tokensPerAttempt);
  }

  /** Takes a token for a retry of a request to a service; returns whether the retry may be made. */
  public boolean tryTake(String service, long now) {
    Bucket bucket = bucket(service);
    if (bucket.refilledAt != Long.MIN_VALUE && now > bucket.refilledAt) {
      double elapsedWindows = (now - bucket.refilledAt) / (double) window.toNanos();
      bucket.tokens = Math.min(capacity(), bucket.tokens + elapsedWindows * ownSlackPerWindow());
    }
    bucket.refilledAt = Math.max(bucket.refilledAt, now);
    if (bucket.tokens < 1) {
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  private Bucket bucket(String service) {
    return bucketByService.computeIfAbsent(
        service,
        key -> {
          Bucket bucket = new Bucket();
          bucket.tokens = ownSlackPerWindow();
          return bucket;
        });
  }

  private double ownSlackPerWindow() {
    return fleetSlackPerWindow / Math.max(1, gatewayCount.getAsInt());
  }

  /** Returns the capacity of a token bucket; at least 1, since a retry takes a whole token. */
  private double capacity() {
    return Math.max(1, ownSlackPerWindow());
  }
}
