package org.oriolewell.core.call;

/**
 * A range of key times, both ends included; it is empty if {@code until} lies before {@code from}.
 *
 * @param from first time, in milliseconds since the epoch
 * @param until last time, in milliseconds since the epoch
 */
public record TimeRange(long from, long until) {
  /** The range without any time. */
  public static final TimeRange EMPTY = new TimeRange(0, -1);

  /** Returns whether the range holds no time. */
  public boolean isEmpty() {
    return until < from;
  }

  /** Returns whether a time lies in the range. */
  public boolean contains(long millis) {
    return from <= millis && millis <= until;
  }

  /** Returns the smallest range that holds this range and a time. */
  public TimeRange including(long millis) {
    return isEmpty()
        ? new TimeRange(millis, millis)
        : new TimeRange(Math.min(from, millis), Math.max(until, millis));
  }
}
