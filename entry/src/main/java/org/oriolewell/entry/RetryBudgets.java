package org.oriolewell.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.BooleanSupplier;
import org.oriolewell.core.retry.RetryBudget;

/** The {@link RetryBudget} of this entry, for use by several threads. */
final class RetryBudgets {
  private final RetryBudget budget;
  private final InstantSource clock;
  private final Instant start;

  RetryBudgets(RetryBudget budget, InstantSource clock) {
    this.budget = budget;
    this.clock = clock;
    this.start = clock.instant();
  }

  /** Notes a request's first attempts and returns what takes a second one from the budget. */
  BooleanSupplier forRequest(String pipeline, int stages) {
    synchronized (budget) {
      for (int i = 0; i < stages; i++) {
        budget.attempted(pipeline);
      }
    }
    return () -> tryTake(pipeline);
  }

  private boolean tryTake(String pipeline) {
    synchronized (budget) {
      return budget.tryTake(pipeline, Duration.between(start, clock.instant()).toNanos());
    }
  }
}
