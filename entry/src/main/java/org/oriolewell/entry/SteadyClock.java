package org.oriolewell.entry;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock for deadlines and heartbeats that never goes back, also when the system's time is set.
 */
final class SteadyClock implements InstantSource {
  private final Instant start = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return start.plusNanos(System.nanoTime() - startNanos);
  }
}
