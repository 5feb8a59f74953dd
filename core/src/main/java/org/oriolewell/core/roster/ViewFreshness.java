package org.oriolewell.core.roster;

import java.time.Duration;

/**
 * Decides whether a node's copy of the API keys is recent enough to accept a key.
 *
 * <p>A key that operators took away must be refused everywhere within a bound, also by a node that
 * is cut off from the store or was suspended. A node therefore accepts keys only for a limited time
 * after the last moment at which the store is known to have confirmed its copy. The monotonic clock
 * stands still while a host is suspended, so a jump of the time of day against it counts as a
 * possible suspension: the copy is stale until a call that was sent after the jump confirms it.
 *
 * <p>Not thread-safe.
 */
public final class ViewFreshness {
  /** Smallest jump between the clocks that counts; larger than scheduling and clock adjustment. */
  private static final long JUMP_MILLIS = 250;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final long maxAgeNanos;
  private long confirmedAt;
  private boolean confirmed;
  private long trustedSince = Long.MIN_VALUE;
  private long offsetMillis;
  private boolean offsetKnown;

  private ViewFreshness(Duration maxAge) {
    this.maxAgeNanos = maxAge.toNanos();
  }

  /**
   * Returns a state in which nothing is confirmed.
   *
   * @param maxAge longest time for which a confirmed copy may be used
   */
  public static ViewFreshness create(Duration maxAge) {
    return new ViewFreshness(maxAge);
  }

  /**
   * Compares the clocks. Call it at each wake-up and before each use of the copy.
   *
   * @param monotonicNanos monotonic time in nanoseconds
   * @param wallMillis time of day in milliseconds
   * @return whether a jump was found
   */
  public boolean observeClocks(long monotonicNanos, long wallMillis) {
    long offset = wallMillis - monotonicNanos / NANOS_PER_MILLI;
    boolean jumped = offsetKnown && Math.abs(offset - offsetMillis) > JUMP_MILLIS;
    if (jumped) {
      confirmed = false;
      trustedSince = monotonicNanos;
    }
    if (jumped || !offsetKnown) {
      offsetMillis = offset;
      offsetKnown = true;
    }
    return jumped;
  }

  /**
   * Records that the store confirmed the copy.
   *
   * @param sentAt when the confirming call was sent; calls sent before a jump confirm nothing
   * @param validAt earliest time at which the store can have given the answer
   */
  public void confirm(long sentAt, long validAt) {
    if (sentAt < trustedSince) {
      return;
    }
    if (!confirmed || validAt > confirmedAt) {
      confirmedAt = validAt;
      confirmed = true;
    }
  }

  /** Returns whether the copy may be used. */
  public boolean fresh(long now) {
    return confirmed && now - confirmedAt < maxAgeNanos;
  }

  /** Returns the age of the copy in milliseconds, or -1 if nothing is confirmed. */
  public long ageMillis(long now) {
    return confirmed ? (now - confirmedAt) / NANOS_PER_MILLI : -1;
  }
}
