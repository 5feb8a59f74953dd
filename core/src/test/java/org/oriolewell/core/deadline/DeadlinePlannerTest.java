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
  private static final long MS = 1_000_000L;
  private static final StageKey FAST = new StageKey("p", "fast", 0);
  private static final StageKey SLOW = new StageKey("p", "slow", 0);

  private static DeadlinePlanner measured() {
    DeadlinePlanner planner = DeadlinePlanner.create();
    for (int i = 0; i < 200; i++) {
      planner.observed(FAST, (10 + i % 10) * MS);
      planner.observed(SLOW, (100 + i % 100) * MS);
    }
    return planner;
  }

  /** Guards against equal parts, which starve the slow stage. */
  @Test
  void timeIsSharedByMeasuredTimes() {
    StagePlan plan = measured().plan(List.of(FAST, SLOW), 1100 * MS);
    assertThat(plan.reachable()).isTrue();
    assertThat(plan.budgetNanos()).isBetween(80 * MS, 120 * MS);
  }

  /** Guards against work on requests that can't be answered in time. */
  @Test
  void requestThatCannotFinishIsNotReachable() {
    assertThat(measured().plan(List.of(FAST, SLOW), 60 * MS).reachable()).isFalse();
    assertThat(measured().plan(List.of(FAST), 60 * MS).reachable()).isTrue();
    StageKey configured = new StageKey("p", "new", 80 * MS);
    assertThat(DeadlinePlanner.create().plan(List.of(configured), 60 * MS).reachable()).isFalse();
  }

  /** Guards against hedging without measurements, and against hedging ordinary calls. */
  @Test
  void hedgeDelayIsTheMeasuredP95() {
    assertThat(DeadlinePlanner.create().hedgeDelay(SLOW)).isEmpty();
    assertThat(measured().hedgeDelay(SLOW).orElseThrow()).isBetween(194 * MS, 220 * MS);
  }

  /** Guards against a bucket that reports a quantile too low or more than an eighth too high. */
  @Property(tries = 200, seed = "3")
  void quantilesAreWithinAnEighth(
      @ForAll @Size(min = 1, max = 300)
          List<@LongRange(min = 10_000, max = 60_000_000_000L) Long> times) {
    LatencyHistogram histogram = LatencyHistogram.create(1000);
    times.forEach(histogram::record);
    List<Long> sorted = times.stream().sorted().toList();
    for (double part : new double[] {0.1, 0.5, 0.95, 1}) {
      long exact = sorted.get(Math.max(1, (int) Math.ceil(part * sorted.size())) - 1);
      assertThat(histogram.quantile(part)).isBetween(exact, exact * 9 / 8 + 1000);
    }
  }

  /** Guards against a budget beyond the remaining time, for any measurements. */
  @Property(tries = 200, seed = "4")
  void budgetStaysWithinTheRemainingTime(
      @ForAll @LongRange(min = 0, max = 11_000_000_000L) long remaining, @ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    DeadlinePlanner planner = DeadlinePlanner.create();
    List<StageKey> stages = List.of(FAST, SLOW, new StageKey("p", "third", 5 * MS));
    for (int i = 0; i < 100; i++) {
      planner.observed(stages.get(random.nextInt(3)), random.nextLong(1, 3_000 * MS));
    }
    StagePlan plan = planner.plan(stages, remaining);
    assertThat(plan.budgetNanos()).isBetween(0L, remaining);
  }
}
