package org.oriolewell.core.membership;

import java.time.Duration;

/**
 * Time limits of the failure detector, and delays between connection attempts.
 *
 * @param suspectAfter time for which a heartbeat may stay unanswered before its host is suspect
 * @param deadAfter time for which a heartbeat may stay unanswered before its host is dead
 * @param redialBaseDelay longest delay before the first new connection attempt; it doubles with
 *     each failure
 * @param redialMaxDelay longest delay before any new connection attempt
 */
public record MembershipSettings(
    Duration suspectAfter, Duration deadAfter, Duration redialBaseDelay, Duration redialMaxDelay) {
  /**
   * Returns the default time limits. With a heartbeat every 250 ms, a host is dead after 750 ms
   * without an answer: the next heartbeat is sent after at most 250 ms and may stay unanswered for
   * 500 ms.
   */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofMillis(200),
        Duration.ofSeconds(5));
  }
}
