package org.oriolewell.core.deadline;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class DeadlinePlannerTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final StageKey FAST_STAGE = new StageKey("p", "fast", 0);
  private static final StageKey SLOW_STAGE = new StageKey("p", "slow", 0);

  private static DeadlinePlanner plannerWithSamples() {
    DeadlinePlanner planner = DeadlinePlanner.create();
    for (int i = 0; i < 200; i++) {
      planner.observed(FAST_STAGE, (10 + i % 10) * NANOS_PER_MILLI);
      planner.observed(SLOW_STAGE, (100 + i % 100) * NANOS_PER_MILLI);
    }
    return planner;
  }

  /**
   * Guards against equal budgets for all stages, which leave too little time for the slow stage.
   */
  @Test
  void timeIsSharedByMeasuredTimes() {
    StagePlan plan =
        plannerWithSamples().plan(List.of(FAST_STAGE, SLOW_STAGE), 1100 * NANOS_PER_MILLI);
    assertThat(plan.reachable()).isTrue();
    assertThat(plan.budgetNanos()).isBetween(80 * NANOS_PER_MILLI, 120 * NANOS_PER_MILLI);
  }

  /** Guards against running stages of requests that can't be answered in time. */
  @Test
  void requestThatCannotFinishIsNotReachable() {
    assertThat(
            plannerWithSamples()
                .plan(List.of(FAST_STAGE, SLOW_STAGE), 60 * NANOS_PER_MILLI)
                .reachable())
        .isFalse();
    assertThat(plannerWithSamples().plan(List.of(FAST_STAGE), 60 * NANOS_PER_MILLI).reachable())
        .isTrue();
    StageKey withConfiguredMinimum = new StageKey("p", "new", 80 * NANOS_PER_MILLI);
    assertThat(
            DeadlinePlanner.create()
                .plan(List.of(withConfiguredMinimum), 60 * NANOS_PER_MILLI)
                .reachable())
        .isFalse();
  }

  /** Guards against hedging without samples, and against hedging calls of ordinary duration. */
  @Test
  void hedgeDelayIsTheMeasuredP95() {
    assertThat(DeadlinePlanner.create().hedgeDelay(SLOW_STAGE)).isEmpty();
    assertThat(plannerWithSamples().hedgeDelay(SLOW_STAGE).orElseThrow())
        .isBetween(194 * NANOS_PER_MILLI, 220 * NANOS_PER_MILLI);
  }

  /** Guards against a quantile that is too low or more than an eighth too high. */
  @Property(tries = 200, seed = "3")
  void quantilesAreWithinAnEighth(
      @ForAll @Size(min = 1, max = 300)
          List<@LongRange(min = 10_000, max = 60_000_000_000L) Long> durationsNanos) {
    LatencyHistogram histogram = LatencyHistogram.create(1000);
    durationsNanos.forEach(histogram::record);
    List<Long> sorted = durationsNanos.stream().sorted().toList();
    for (double fraction : new double[] {0.1, 0.5, 0.95, 1}) {
      long exactNanos = sorted.get(Math.max(1, (int) Math.ceil(fraction * sorted.size())) - 1);
      assertThat(histogram.quantile(fraction)).isBetween(exactNanos, exactNanos * 9 / 8 + 1000);
    }
  }

  /** Guards against a budget longer than the remaining time, for any samples. */
  @Property(tries = 200, seed = "4")
  void budgetStaysWithinTheRemainingTime(
      @ForAll @LongRange(min = 0, max = 11_000_000_000L) long remainingNanos, @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    DeadlinePlanner planner = DeadlinePlanner.create();
    List<StageKey> stages =
        List.of(FAST_STAGE, SLOW_STAGE, new StageKey("p", "third", 5 * NANOS_PER_MILLI));
    for (int i = 0; i < 100; i++) {
      planner.observed(stages.get(random.nextInt(3)), random.nextLong(1, 3_000 * NANOS_PER_MILLI));
    }
    StagePlan plan = planner.plan(stages, remainingNanos);
    assertThat(plan.budgetNanos()).isBetween(0L, remainingNanos);
  }
}
