package org.oriolewell.bench.calls;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.oriolewell.bench.calls.CallRecordComparison.Result;

/** Guards against a change that makes the record of non-idempotent calls miss its goals. */
class CallRecordComparisonTest {
  /** Goal: at most one store write for 20 calls at 200 calls a second. */
  private static final double MAX_WRITES_PER_CALL = 1.0 / 20;

  /** Goal: less than 10 ms added at the median with a store that answers in 3 ms. */
  private static final double MAX_MEDIAN_MILLIS = 10;

  @Test
  void executionWindowsMeetTheGoals() {
    Result result = CallRecordComparison.windows(200, 3, 1);

    assertThat(result.writesPerCall()).isLessThanOrEqualTo(MAX_WRITES_PER_CALL);
    assertThat(result.medianMillis()).isLessThan(MAX_MEDIAN_MILLIS);
  }

  /** Guards against a comparison that favors every variant: the baseline must miss a goal. */
  @Test
  void batchedIntentsWriteMoreThanTheGoalAllows() {
    Result result = CallRecordComparison.batchedIntents(200, 3, 1);

    assertThat(result.writesPerCall()).isGreaterThan(MAX_WRITES_PER_CALL);
  }
}
