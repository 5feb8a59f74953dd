package org.oriolewell.core.membership;

import java.time.Duration;

/**
 * Times of the failure detector.
 *
 * @param suspectAfter time a heartbeat may stay unanswered before its host is suspect
 * @param deadAfter time a heartbeat may stay unanswered before its host is dead
 * @param redialBase longest wait before the first new connection attempt; it doubles per failure
 * @param redialMax longest wait before any new connection attempt
 */
public record MembershipSettings(
    Duration suspectAfter, Duration deadAfter, Duration redialBase, Duration redialMax) {
  /**
   * Returns the default times. With a heartbeat each 250 ms, a host is dead after 750 ms of
   * silence: the next heartbeat goes out after at most 250 ms and may stay unanswered for 500 ms.
   */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofMillis(200),
        Duration.ofSeconds(5));
  }
}
