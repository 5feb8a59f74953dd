package org.oriolewell.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RetryTest {
  private static final long SECOND = 1_000_000_000L;

  /** Guards against a second run of a non-idempotent call. */
  @Test
  void nonIdempotentCallIsRetriedOnlyIfItDidNotRun() {
    for (AttemptOutcome outcome : AttemptOutcome.values()) {
      boolean notRun =
          outcome == AttemptOutcome.NOT_SENT
              || outcome == AttemptOutcome.OVERLOADED
              || outcome == AttemptOutcome.MOVED;
      assertThat(RetryRule.STANDARD.mayRetry(outcome, false)).as("%s", outcome).isEqualTo(notRun);
    }
    assertThat(RetryRule.STANDARD.mayRetry(AttemptOutcome.UNKNOWN, true)).isTrue();
  }

  /** Guards against a retry storm: when all calls fail, retries stay a tenth of the calls. */
  @Test
  void retriesStayWithinTheBudgetWhenEverythingFails() {
    RetryBudget budget = RetryBudget.create(RetryBudgetSettings.defaults());
    int retries = 0;
    for (int i = 0; i < 100_000; i++) {
      budget.attempted("p" + i % 21);
      retries += budget.tryTake("p" + i % 21, i * SECOND / 1000) ? 1 : 0;
    }
    int saved = 50 + 2 * 100;
    assertThat(retries).isBetween(9_000, 10_000 + saved);
  }

  /** Guards against one failing pipeline that uses up the retries of the others. */
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

  /** Guards against retries in step, and against a bound that overflows. */
  @Property(tries = 200, seed = "5")
  void backoffStaysWithinItsBound(@ForAll @IntRange(min = 1, max = 100) int retry) {
    Duration delay = Backoff.defaults().delay(retry, new SplittableRandom(retry));
    assertThat(delay).isBetween(Duration.ZERO, Duration.ofMillis(200));
    assertThat(delay.toNanos()).isLessThanOrEqualTo(5_000_000L << Math.min(20, retry - 1));
  }
}
