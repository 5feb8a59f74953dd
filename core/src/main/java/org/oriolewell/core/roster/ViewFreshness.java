package org.oriolewell.core.roster;

import java.time.Duration;

/**
 * Decides whether a gateway's copy of the API keys is recent enough to accept a key.
 *
 * <p>A key that operators revoked must be refused by all gateways within a time limit, also by a
 * gateway that is partitioned from the store or was suspended. A gateway therefore accepts keys
 * only for a limited time after the store last confirmed its copy. The monotonic clock stops while
 * a host is suspended, so a jump of the wall clock relative to the monotonic clock counts as a
 * possible suspension: the copy is stale until a call that was sent after the jump confirms it.
 *
 * <p>Not thread-safe.
 */
public final class ViewFreshness {
  /**
   * Smallest jump between wall clock and monotonic clock that counts as a suspension, in
   * milliseconds; larger than scheduling delays and clock adjustments.
   */
  private static final long MIN_CLOCK_JUMP_MILLIS = 250;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final long maxAgeNanos;
  private long confirmedAt;
  private boolean confirmed;
  private long lastJumpAt = Long.MIN_VALUE;
  private long clockOffsetMillis;
  private boolean clockOffsetKnown;

  private ViewFreshness(Duration maxAge) {
    this.maxAgeNanos = maxAge.toNanos();
  }

  /**
   * Returns an object for a copy of the API keys that the store hasn't confirmed yet.
   *
   * @param maxAge longest time for which the copy may be used after a confirmation
   */
  public static ViewFreshness create(Duration maxAge) {
    return new ViewFreshness(maxAge);
  }

  /**
   * Compares the clocks to detect a suspension of the host. Must be called at each wake-up of the
   * event loop and before each use of the copy.
   *
   * @param monotonicNanos monotonic time in nanoseconds
   * @param wallMillis wall clock time in milliseconds
   * @return whether one clock jumped relative to the other
   */
  public boolean observeClocks(long monotonicNanos, long wallMillis) {
    long currentOffsetMillis = wallMillis - monotonicNanos / NANOS_PER_MILLI;
    boolean jumped =
        clockOffsetKnown
            && Math.abs(currentOffsetMillis - clockOffsetMillis) > MIN_CLOCK_JUMP_MILLIS;
    if (jumped) {
      confirmed = false;
      lastJumpAt = monotonicNanos;
    }
    if (jumped || !clockOffsetKnown) {
      clockOffsetMillis = currentOffsetMillis;
      clockOffsetKnown = true;
    }
    return jumped;
  }

  /**
   * Records that the store confirmed the copy of the API keys.
   *
   * @param sentAt monotonic time in nanoseconds at which the confirming call was sent; ignored if
   *     that was before a clock jump
   * @param validAt earliest time at which the store can have answered, monotonic nanoseconds
   */
  public void confirm(long sentAt, long validAt) {
    if (sentAt < lastJumpAt) {
      return;
    }
    if (!confirmed || validAt > confirmedAt) {
      confirmedAt = validAt;
      confirmed = true;
    }
  }

  /** Returns whether the copy of the API keys was confirmed recently enough to be used. */
  public boolean fresh(long now) {
    return confirmed && now - confirmedAt < maxAgeNanos;
  }

  /** Returns how long the copy stays fresh without a further confirmation; zero if it isn't. */
  public Duration freshFor(long now) {
    return fresh(now) ? Duration.ofNanos(maxAgeNanos - (now - confirmedAt)) : Duration.ZERO;
  }

  /** Returns the milliseconds since the copy was last confirmed; -1 if it is unconfirmed. */
  public long ageMillis(long now) {
    return confirmed ? (now - confirmedAt) / NANOS_PER_MILLI : -1;
  }
}
