package org.oriolewell.core.overload;

import java.time.Duration;

/**
 * Least rate at which the body of a request must arrive, counted in bytes. A caller that sends a
 * byte now and then would otherwise hold the memory of its request for as long as it likes.
 *
 * @param bytesPerSecond least mean rate since the head; 0 for none
 * @param grace time in which any rate is accepted
 */
public record BodyRate(long bytesPerSecond, Duration grace) {
  /**
   * Returns whether a body arrives too slowly.
   *
   * @param receivedBytes bytes of the body that have arrived
   * @param elapsed time since the head, without the time in which the connection was not read
   */
  public boolean tooSlow(long receivedBytes, Duration elapsed) {
    return elapsed.compareTo(grace) > 0
        && receivedBytes < bytesPerSecond * (elapsed.toNanos() / 1e9);
  }
}
