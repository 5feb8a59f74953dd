package org.oriolewell.core.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the delay before a retry is uniformly distributed between
 * zero and a bound that doubles with each retry.
 *
 * @param firstBound bound of the delay before the first retry
 * @param maxBound largest bound of the delay before any retry
 */
public record Backoff(Duration firstBound, Duration maxBound) {
  /** Returns the default backoff: 5 to 200 ms, so that retries fit into a deadline of seconds. */
  public static Backoff defaults() {
    return new Backoff(Duration.ofMillis(5), Duration.ofMillis(200));
  }

  /**
   * Returns the random delay before a retry.
   *
   * @param retry number of the retry, from 1
   * @param random source of the jitter
   */
  public Duration delay(int retry, RandomGenerator random) {
    long delayBound =
        Math.min(maxBound.toNanos(), firstBound.toNanos() << Math.min(20, Math.max(0, retry - 1)));
    return Duration.ofNanos(random.nextLong(delayBound + 1));
  }
}
