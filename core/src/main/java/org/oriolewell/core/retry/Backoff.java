package org.oriolewell.core.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: a wait drawn evenly from zero to a bound that doubles with
 * each attempt.
 *
 * @param base bound before the first retry
 * @param max largest bound
 */
public record Backoff(Duration base, Duration max) {
  /** Returns the default: 5 ms, at most 200 ms, so that retries fit into a deadline of seconds. */
  public static Backoff defaults() {
    return new Backoff(Duration.ofMillis(5), Duration.ofMillis(200));
  }

  /**
   * Returns the wait before a retry.
   *
   * @param retry number of the retry, from 1
   * @param random source of the jitter
   */
  public Duration delay(int retry, RandomGenerator random) {
    long bound = Math.min(max.toNanos(), base.toNanos() << Math.min(20, Math.max(0, retry - 1)));
    return Duration.ofNanos(random.nextLong(bound + 1));
  }
}
