package org.oriolewell.core.call;

/**
 * A range of key times, which are the times of issue of idempotency keys. Both ends are included;
 * the range is empty if its last time lies before its first.
 *
 * @param firstMillis first key time of the range, in milliseconds since the epoch
 * @param lastMillis last key time of the range, in milliseconds since the epoch
 */
public record TimeRange(long firstMillis, long lastMillis) {
  /** A range that contains no key time. */
  public static final TimeRange EMPTY = new TimeRange(0, -1);

  /** Returns whether the range contains no key time. */
  public boolean isEmpty() {
    return lastMillis < firstMillis;
  }

  /** Returns whether a key time lies in the range, ends included. */
  public boolean contains(long keyMillis) {
    return firstMillis <= keyMillis && keyMillis <= lastMillis;
  }

  /** Returns the smallest range that contains this range and the given key time. */
  public TimeRange including(long keyMillis) {
    return isEmpty()
        ? new TimeRange(keyMillis, keyMillis)
        : new TimeRange(Math.min(firstMillis, keyMillis), Math.max(lastMillis, keyMillis));
  }
}
