package org.oriolewell.standins;

import java.util.function.LongSupplier;

/** A token bucket. */
final class RateLimit {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double perSecond;
  private final double capacity;
  private final LongSupplier nanoTime;
  private double tokens;
  private long last;

  /**
   * Creates a full bucket.
   *
   * @param perSecond rate; 0 for no limit
   * @param capacity number of tokens that it holds
   * @param nanoTime monotonic time in nanoseconds
   */
  RateLimit(double perSecond, double capacity, LongSupplier nanoTime) {
    this.perSecond = perSecond;
    this.capacity = capacity;
    this.nanoTime = nanoTime;
    tokens = capacity;
    last = nanoTime.getAsLong();
  }

  /** Takes one token if there is one. */
  synchronized boolean tryTake() {
    if (perSecond == 0) {
      return true;
    }
    refill();
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  /** Takes any number of tokens and returns the time in nanoseconds until they are there. */
  synchronized long reserveNanos(double amount) {
    if (perSecond == 0) {
      return 0;
    }
    refill();
    tokens -= amount;
    return tokens >= 0 ? 0 : (long) (-tokens / perSecond * NANOS_PER_SECOND);
  }

  private void refill() {
    long now = nanoTime.getAsLong();
    tokens = Math.min(capacity, tokens + (now - last) / NANOS_PER_SECOND * perSecond);
    last = now;
  }
}
