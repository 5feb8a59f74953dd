package org.oriolewell.core.route;

import java.time.Duration;

/**
 * Capacity of one upstream of a service that runs stages.
 *
 * @param slots largest number of calls that run at the same time
 * @param queueSize largest number of calls that wait at the upstream
 * @param maxBatch largest number of pieces in a call
 * @param baseCallTime duration of a call without pieces
 * @param pieceTime approximate time that each piece adds to the duration of its call
 * @param resultSpaceBytes space for stored results, in bytes
 * @param resultLifetime time from the end of a call until the upstream deletes its results
 */
public record StageService(
    int slots,
    int queueSize,
    int maxBatch,
    Duration baseCallTime,
    Duration pieceTime,
    long resultSpaceBytes,
    Duration resultLifetime) {

  /** Returns the expected duration of a call with a number of pieces. */
  public Duration callTime(int pieces) {
    return baseCallTime.plus(pieceTime.multipliedBy(pieces));
  }
}
