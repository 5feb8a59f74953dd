package org.oriolewell.core.deadline;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/** Splits the remaining time of a request over its remaining stages. Not thread-safe. */
public final class DeadlinePlanner {
  /** Samples before a stage's measured times are used, and between updates of its quantiles. */
  private static final int MIN_SAMPLES = 20;

  /** Samples after which older ones count half. */
  private static final int WINDOW = 1000;

  /** Time of a stage without samples or a configured minimum. */
  private static final long DEFAULT_NANOS = 50_000_000L;

  /** Quantile by which time is shared. */
  private static final double SHARE_QUANTILE = 0.95;

  /**
   * Quantile that a stage needs at least. It is low since a refusal is final: a request is refused
   * only if nine in ten of the measured calls took longer than it can.
   */
  private static final double NEED_QUANTILE = 0.1;

  private final Map<StageKey, StageTimes> times = new HashMap<>();

  private DeadlinePlanner() {}

  /** Returns a planner without measurements. */
  public static DeadlinePlanner create() {
    return new DeadlinePlanner();
  }

  /** Records the time of an answered stage, in nanoseconds, from its call to its answer. */
  public void observed(StageKey stage, long nanos) {
    times.computeIfAbsent(stage, key -> new StageTimes()).record(nanos);
  }

  /** Forgets a stage that the configuration no longer has. */
  public void forget(StageKey stage) {
    times.remove(stage);
  }

  /**
   * Plans the next stage.
   *
   * @param remaining the stages that remain, the next one first; not empty
   * @param remainingNanos time until the request's deadline
   */
  public StagePlan plan(List<StageKey> remaining, long remainingNanos) {
    double shares = 0;
    long needed = 0;
    for (StageKey stage : remaining) {
      shares += share(stage);
      needed += need(stage);
    }
    long laterNeeds = needed - need(remaining.get(0));
    double part = share(remaining.get(0)) / shares;
    long proportional = (long) (remainingNanos * part);
    // The next stage gets its proportional part, but never what later stages need at least.
    long budget = Math.min(proportional, remainingNanos - laterNeeds);
    budget = Math.max(budget, Math.min(need(remaining.get(0)), remainingNanos));
    return new StagePlan(remainingNanos >= needed, Math.max(0, budget), needed);
  }

  /** Returns the wait after which an attempt of the stage is a straggler; empty if not measured. */
  public OptionalLong hedgeDelay(StageKey stage) {
    StageTimes measured = measured(stage);
    return measured == null ? OptionalLong.empty() : OptionalLong.of(measured.high);
  }

  private double share(StageKey stage) {
    StageTimes measured = measured(stage);
    long known = measured == null ? DEFAULT_NANOS : measured.high;
    return Math.max(1, Math.max(stage.minNanos(), known));
  }

  private long need(StageKey stage) {
    StageTimes measured = measured(stage);
    long known = measured == null ? 0 : measured.low;
    return Math.max(stage.minNanos(), known);
  }

  private @Nullable StageTimes measured(StageKey stage) {
    StageTimes found = times.get(stage);
    return found == null || found.histogram.count() < MIN_SAMPLES ? null : found;
  }

  /** Times of a stage, with the two quantiles kept so that a plan needn't search the histogram. */
  private static final class StageTimes {
    private final LatencyHistogram histogram = LatencyHistogram.create(WINDOW);
    private int untilRefresh = MIN_SAMPLES;
    private long low;
    private long high;

    private void record(long nanos) {
      histogram.record(nanos);
      if (--untilRefresh <= 0) {
        untilRefresh = MIN_SAMPLES;
        low = histogram.quantile(NEED_QUANTILE);
        high = histogram.quantile(SHARE_QUANTILE);
      }
    }
  }
}
