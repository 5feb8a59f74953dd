package org.oriolewell.standins;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions. */
final class Await {
  private static final Duration LIMIT = Duration.ofSeconds(20);

  private Await() {}

  static void until(BooleanSupplier condition) {
    long end = System.nanoTime() + LIMIT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("the condition is not met after " + LIMIT);
      }
      LockSupport.parkNanos(1_000_000);
    }
  }
}
