package org.oriolewell.loadtool;

import java.util.concurrent.CompletableFuture;

/** Where requests are sent. */
@FunctionalInterface
interface Target {
  /**
   * Sends a request.
   *
   * @param key idempotency key; empty for none
   * @param remainingMillis time left until the deadline
   * @return the end of the call; never fails
   */
  CompletableFuture<CallResult> send(Arrival arrival, String key, long remainingMillis);
}
