package org.oriolewell.core.routing;

/** Token bucket of the bytes that may cross the link between regions. */
final class LinkBudget {
  private final double rate;
  private final double burst;
  private double tokens;
  private long last = Long.MIN_VALUE;

  /** Creates a full bucket; {@code rate} is in bytes per second. */
  LinkBudget(double rate, double burst) {
    this.rate = rate;
    this.burst = burst;
    this.tokens = burst;
  }

  /** Takes the bytes if they are there and returns whether they were. */
  boolean take(int bytes, long now) {
    if (last != Long.MIN_VALUE && now > last) {
      tokens = Math.min(burst, tokens + (now - last) * 1e-9 * rate);
    }
    last = Math.max(last, now);
    if (tokens < bytes) {
      return false;
    }
    tokens -= bytes;
    return true;
  }
}
