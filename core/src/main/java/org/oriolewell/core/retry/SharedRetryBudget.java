package org.oriolewell.core.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * One node's part of a budget of second attempts that bounds the whole fleet: in each window a
 * service gets no more of them than a share of its first attempts and a constant number.
 *
 * <p>Load pattern: an upstream that fails makes all nodes retry at once, and a fleet that grows
 * must not retry more. The nodes don't ask each other: each earns tokens for its own first attempts
 * and its part of the constant number, divided by the number of nodes that it knows.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class SharedRetryBudget {
  /** Part of the share of first attempts that is used; windows of nodes don't begin together. */
  private static final double RATIO_SHARE = 0.6;

  /**
   * Part of the constant number that a window may earn. A node may have saved as much from the time
   * before, so that a window sees twice this part; the rest is left for nodes that restart.
   */
  private static final double SLACK_SHARE = 0.4;

  private static final class Bucket {
    private double tokens;
    private long filledAt = Long.MIN_VALUE;
  }

  private final double ratio;
  private final double slack;
  private final Duration window;
  private final IntSupplier nodes;
  private final Map<String, Bucket> byService = new HashMap<>();

  private SharedRetryBudget(double ratio, double slack, Duration window, IntSupplier nodes) {
    this.ratio = ratio * RATIO_SHARE;
    this.slack = slack * SLACK_SHARE;
    this.window = window;
    this.nodes = nodes;
  }

  /**
   * Returns a budget whose constant part may be used at once.
   *
   * @param ratio second attempts of the fleet for each first attempt
   * @param slack second attempts of the fleet in a window, in any case
   * @param window window in which the fleet's bound holds
   * @param nodes number of nodes, this one included
   */
  public static SharedRetryBudget create(
      double ratio, double slack, Duration window, IntSupplier nodes) {
    return new SharedRetryBudget(ratio, slack, window, nodes);
  }

  /** Records a first attempt. */
  public void attempted(String service) {
    Bucket bucket = bucket(service);
    bucket.tokens = Math.min(limit(), bucket.tokens + ratio);
  }

  /** Takes a token for a second attempt; returns whether it may be made. */
  public boolean tryTake(String service, long now) {
    Bucket bucket = bucket(service);
    if (bucket.filledAt != Long.MIN_VALUE && now > bucket.filledAt) {
      double windows = (now - bucket.filledAt) / (double) window.toNanos();
      bucket.tokens = Math.min(limit(), bucket.tokens + windows * constantPart());
    }
    bucket.filledAt = Math.max(bucket.filledAt, now);
    if (bucket.tokens < 1) {
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  private Bucket bucket(String service) {
    return byService.computeIfAbsent(
        service,
        name -> {
          Bucket bucket = new Bucket();
          bucket.tokens = constantPart();
          return bucket;
        });
  }

  private double constantPart() {
    return slack / Math.max(1, nodes.getAsInt());
  }

  /** Returns the most tokens that may be saved: one at least, or none could ever be used. */
  private double limit() {
    return Math.max(1, constantPart());
  }
}
