package org.oriolewell.core.route;

import java.time.Duration;

/**
 * Capacity of one upstream of a service that runs stages.
 *
 * @param slots calls that run at the same time
 * @param queue calls that may wait
 * @param batch most pieces in a call
 * @param callTime fixed time of a call
 * @param pieceTime approximate time that each piece adds
 * @param resultSpaceBytes space for results
 * @param resultLifetime time after which a result is dropped, from the end of its call
 */
public record StageService(
    int slots,
    int queue,
    int batch,
    Duration callTime,
    Duration pieceTime,
    long resultSpaceBytes,
    Duration resultLifetime) {

  /** Returns the expected time of a call with a number of pieces. */
  public Duration callTime(int pieces) {
    return callTime.plus(pieceTime.multipliedBy(pieces));
  }
}
