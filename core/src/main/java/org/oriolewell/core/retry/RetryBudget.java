package org.oriolewell.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds second attempts to a share of first attempts, for the process and for each pipeline, so
 * that failures do not multiply the load. Each first attempt adds a part of a token to both
 * buckets; a second attempt takes a whole token from both. A small constant rate lets pipelines
 * with little traffic retry. Not thread-safe.
 */
public final class RetryBudget {
  /**
   * Time without hedges after a refusal: a hedge of an overloaded pool displaces a first attempt.
   */
  private static final long HEDGE_PAUSE_NANOS = 2_000_000_000L;

  private final RetryBudgetSettings settings;
  private final Bucket process;
  private final Bucket hedges;
  private long overloadedAt = Long.MIN_VALUE;
  private final Map<String, Bucket> pipelines = new HashMap<>();

  private RetryBudget(RetryBudgetSettings settings) {
    this.settings = settings;
    this.process =
        new Bucket(settings.ratio(), settings.processMinPerSecond(), settings.processBurst());
    this.hedges =
        new Bucket(settings.hedgeRatio(), settings.hedgeMinPerSecond(), settings.hedgeBurst());
  }

  /** Returns a budget with full buckets. */
  public static RetryBudget create(RetryBudgetSettings settings) {
    return new RetryBudget(settings);
  }

  /** Records a first attempt. */
  public void attempted(String pipeline) {
    process.deposit();
    hedges.deposit();
    bucket(pipeline).deposit();
  }

  /**
   * Takes a token for a second attempt or a hedge if both buckets have one.
   *
   * @param pipeline pipeline of the request
   * @param now monotonic time in nanoseconds
   * @return whether the attempt may be made
   */
  public boolean tryTake(String pipeline, long now) {
    Bucket own = bucket(pipeline);
    if (!process.available(now) || !own.available(now)) {
      return false;
    }
    process.take();
    own.take();
    return true;
  }

  /** Records that an agent refused a call because of its load; hedging pauses. */
  public void overloaded(long now) {
    overloadedAt = now;
  }

  /**
   * Takes a token for a hedge: from the hedges' own small bucket, and from both other buckets if
   * they are more than half full, since a retry after a failure helps more than a hedge.
   *
   * @param pipeline pipeline of the request
   * @param now monotonic time in nanoseconds
   * @return whether the hedge may be made
   */
  public boolean tryHedge(String pipeline, long now) {
    boolean allowed =
        (overloadedAt == Long.MIN_VALUE || now - overloadedAt > HEDGE_PAUSE_NANOS)
            && hedges.available(now)
            && process.halfFull(now)
            && bucket(pipeline).halfFull(now)
            && tryTake(pipeline, now);
    if (allowed) {
      hedges.take();
    }
    return allowed;
  }

  /** Forgets a pipeline that the configuration no longer has. */
  public void forget(String pipeline) {
    pipelines.remove(pipeline);
  }

  private Bucket bucket(String pipeline) {
    return pipelines.computeIfAbsent(
        pipeline,
        name ->
            new Bucket(
                settings.ratio(), settings.pipelineMinPerSecond(), settings.pipelineBurst()));
  }

  private static final class Bucket {
    private final double ratio;
    private final double perSecond;
    private final double burst;
    private double tokens;
    private long last = Long.MIN_VALUE;

    private Bucket(double ratio, double perSecond, double burst) {
      this.ratio = ratio;
      this.perSecond = perSecond;
      this.burst = burst;
      this.tokens = burst;
    }

    private void deposit() {
      tokens = Math.min(burst, tokens + ratio);
    }

    private boolean available(long now) {
      if (last != Long.MIN_VALUE && now > last) {
        tokens = Math.min(burst, tokens + (now - last) * 1e-9 * perSecond);
      }
      last = Math.max(last, now);
      return tokens >= 1;
    }

    private boolean halfFull(long now) {
      return available(now) && tokens > burst / 2;
    }

    private void take() {
      tokens -= 1;
    }
  }
}
