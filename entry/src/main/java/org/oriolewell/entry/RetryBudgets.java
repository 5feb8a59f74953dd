package org.oriolewell.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.BooleanSupplier;
import org.oriolewell.core.retry.RetryBudget;

/** Thread-safe wrapper of the {@link RetryBudget} that all requests of this entry share. */
final class RetryBudgets {
  private final RetryBudget budget;
  private final InstantSource clock;
  private final Instant startedAt;

  RetryBudgets(RetryBudget budget, InstantSource clock) {
    this.budget = budget;
    this.clock = clock;
    this.startedAt = clock.instant();
  }

  /**
   * Records the first attempts of a request's stages; returns a function that takes a retry from
   * the budget, or false if it is empty.
   */
  BooleanSupplier forRequest(String pipeline, int stageCount) {
    synchronized (budget) {
      for (int i = 0; i < stageCount; i++) {
        budget.attempted(pipeline);
      }
    }
    return () -> tryTakeRetry(pipeline);
  }

  private boolean tryTakeRetry(String pipeline) {
    synchronized (budget) {
      return budget.tryTake(pipeline, Duration.between(startedAt, clock.instant()).toNanos());
    }
  }
}
