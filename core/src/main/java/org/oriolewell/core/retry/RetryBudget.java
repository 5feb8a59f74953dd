package org.oriolewell.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits retries and hedges to a share of first attempts, for the process and for each pipeline, so
 * that failures do not multiply the load. Each first attempt adds a fraction of a token to the
 * process's and the pipeline's token bucket; a retry takes a whole token from both. A small
 * constant refill rate lets pipelines with little traffic retry. Not thread-safe.
 */
public final class RetryBudget {
  /**
   * Time without hedges after an agent refused a call: the hedge would displace a first attempt.
   */
  private static final long HEDGE_PAUSE_AFTER_OVERLOAD_NANOS = 2_000_000_000L;

  private final RetryBudgetSettings settings;
  private final Bucket processBucket;
  private final Bucket hedgeBucket;
  private long lastOverloadAt = Long.MIN_VALUE;
  private final Map<String, Bucket> bucketByPipeline = new HashMap<>();

  private RetryBudget(RetryBudgetSettings settings) {
    this.settings = settings;
    this.processBucket =
        new Bucket(settings.ratio(), settings.processMinPerSecond(), settings.processBurst());
    this.hedgeBucket =
        new Bucket(settings.hedgeRatio(), settings.hedgeMinPerSecond(), settings.hedgeBurst());
  }

  /** Returns a retry budget with full token buckets. */
  public static RetryBudget create(RetryBudgetSettings settings) {
    return new RetryBudget(settings);
  }

  /** Records the first attempt of a call, which refills the token buckets. */
  public void attempted(String pipeline) {
    processBucket.deposit();
    hedgeBucket.deposit();
    pipelineBucket(pipeline).deposit();
  }

  /**
   * Takes a token for a retry if both the process's and the pipeline's bucket have one.
   *
   * @param pipeline pipeline of the request
   * @param now monotonic time in nanoseconds
   * @return whether the retry may be made
   */
  public boolean tryTake(String pipeline, long now) {
    Bucket pipelineBucket = pipelineBucket(pipeline);
    if (!processBucket.hasToken(now) || !pipelineBucket.hasToken(now)) {
      return false;
    }
    processBucket.take();
    pipelineBucket.take();
    return true;
  }

  /** Records that an agent refused a call because it is overloaded; no hedges for some time. */
  public void overloaded(long now) {
    lastOverloadAt = now;
  }

  /**
   * Takes a token for a hedge from the hedge bucket, and from the process's and the pipeline's
   * bucket if they are more than half full, since a retry after a failure helps more than a hedge.
   *
   * @param pipeline pipeline of the request
   * @param now monotonic time in nanoseconds
   * @return whether the hedge may be made
   */
  public boolean tryHedge(String pipeline, long now) {
    boolean allowed =
        (lastOverloadAt == Long.MIN_VALUE
                || now - lastOverloadAt > HEDGE_PAUSE_AFTER_OVERLOAD_NANOS)
            && hedgeBucket.hasToken(now)
            && processBucket.isMoreThanHalfFull(now)
            && pipelineBucket(pipeline).isMoreThanHalfFull(now)
            && tryTake(pipeline, now);
    if (allowed) {
      hedgeBucket.take();
    }
    return allowed;
  }

  /** Removes the token bucket of a pipeline that was removed from the configuration. */
  public void forget(String pipeline) {
    bucketByPipeline.remove(pipeline);
  }

  private Bucket pipelineBucket(String pipeline) {
    return bucketByPipeline.computeIfAbsent(
        pipeline,
        key ->
            new Bucket(
                settings.ratio(), settings.pipelineMinPerSecond(), settings.pipelineBurst()));
  }

  private static final class Bucket {
    private final double tokensPerAttempt;
    private final double tokensPerSecond;
    private final double capacity;
    private double tokens;
    private long refilledAt = Long.MIN_VALUE;

    private Bucket(double tokensPerAttempt, double tokensPerSecond, double capacity) {
      this.tokensPerAttempt = tokensPerAttempt;
      this.tokensPerSecond = tokensPerSecond;
      this.capacity = capacity;
      this.tokens = capacity;
    }

    private void deposit() {
      tokens = Math.min(capacity, tokens + tokensPerAttempt);
    }

    private boolean hasToken(long now) {
      if (refilledAt != Long.MIN_VALUE && now > refilledAt) {
        tokens = Math.min(capacity, tokens + (now - refilledAt) * 1e-9 * tokensPerSecond);
      }
      refilledAt = Math.max(refilledAt, now);
      return tokens >= 1;
    }

    private boolean isMoreThanHalfFull(long now) {
      return hasToken(now) && tokens > capacity / 2;
    }

    private void take() {
      tokens -= 1;
    }
  }
}
