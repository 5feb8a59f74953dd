package org.oriolewell.entry;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Monotonic clock for deadlines and heartbeats: it never goes back, even if the system time is
 * changed.
 */
final class MonotonicClock implements InstantSource {
  private final Instant startTime = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return startTime.plusNanos(System.nanoTime() - startNanos);
  }
}
