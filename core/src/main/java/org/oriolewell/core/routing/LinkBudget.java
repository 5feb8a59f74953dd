package org.oriolewell.core.routing;

/** Token bucket that limits the bytes sent over the link between regions. */
final class LinkBudget {
  private final double bytesPerSecond;
  private final double burstBytes;
  private double availableBytes;
  private long refilledAt = Long.MIN_VALUE;

  /**
   * Creates a full bucket.
   *
   * @param bytesPerSecond refill rate in bytes per second
   * @param burstBytes capacity of the bucket in bytes
   */
  LinkBudget(double bytesPerSecond, double burstBytes) {
    this.bytesPerSecond = bytesPerSecond;
    this.burstBytes = burstBytes;
    this.availableBytes = burstBytes;
  }

  /** Takes bytes from the bucket; returns false, and takes none, if fewer are available. */
  boolean take(int bytes, long now) {
    if (refilledAt != Long.MIN_VALUE && now > refilledAt) {
      availableBytes =
          Math.min(burstBytes, availableBytes + (now - refilledAt) * 1e-9 * bytesPerSecond);
    }
    refilledAt = Math.max(refilledAt, now);
    if (availableBytes < bytes) {
      return false;
    }
    availableBytes -= bytes;
    return true;
  }
}
