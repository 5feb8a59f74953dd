package org.oriolewell.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RetryTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** A retry after an attempt that may have run would run a non-idempotent call twice. */
  @Test
  void nonIdempotentCallIsRetriedOnlyIfItDidNotRun() {
    for (AttemptOutcome outcome : AttemptOutcome.values()) {
      boolean didNotRun =
          outcome == AttemptOutcome.NOT_SENT
              || outcome == AttemptOutcome.OVERLOADED
              || outcome == AttemptOutcome.MOVED;
      assertThat(RetryRule.STANDARD.mayRetry(outcome, false))
          .as("%s", outcome)
          .isEqualTo(didNotRun);
    }
    assertThat(RetryRule.STANDARD.mayRetry(AttemptOutcome.UNKNOWN, true)).isTrue();
  }

  /** When all calls fail, retries stay at a tenth of the calls, so that no retry storm arises. */
  @Test
  void retriesStayWithinTheBudgetWhenEverythingFails() {
    RetryBudget budget = RetryBudget.create(RetryBudgetSettings.defaults());
    int retries = 0;
    for (int i = 0; i < 100_000; i++) {
      budget.attempted("p" + i % 21);
      retries += budget.tryTake("p" + i % 21, i * NANOS_PER_SECOND / 1000) ? 1 : 0;
    }
    int savedTokens = 50 + 2 * 100;
    assertThat(retries).isBetween(9_000, 10_000 + savedTokens);
  }

  /** A failing pipeline must not use up the retry tokens of other pipelines. */
  @Test
  void failingPipelineLeavesRetriesToOthers() {
    RetryBudget budget = RetryBudget.create(RetryBudgetSettings.defaults());
    for (int i = 0; i < 1000; i++) {
      budget.attempted("failing");
      budget.attempted("good");
      budget.tryTake("failing", 0);
    }
    assertThat(budget.tryTake("good", 0)).isTrue();
  }

  /** The delay is random, so that retries don't synchronize, and its bound must not overflow. */
  @Property(tries = 200, seed = "5")
  void backoffStaysWithinItsBound(@ForAll @IntRange(min = 1, max = 100) int retry) {
    Duration delay = Backoff.defaults().delay(retry, new SplittableRandom(retry));
    assertThat(delay).isBetween(Duration.ZERO, Duration.ofMillis(200));
    assertThat(delay.toNanos()).isLessThanOrEqualTo(5_000_000L << Math.min(20, retry - 1));
  }
}
