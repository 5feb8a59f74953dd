package org.oriolewell.core.deadline;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/** Divides the remaining time of a request among its remaining stages. Not thread-safe. */
public final class DeadlinePlanner {
  /**
   * Number of samples before a stage's measured durations are used, and between updates of its
   * quantiles.
   */
  private static final int MIN_SAMPLES = 20;

  /** Number of samples after which older ones count half. */
  private static final int SAMPLES_PER_HALVING = 1000;

  /** Duration assumed for a stage without enough samples, in nanoseconds. */
  private static final long DEFAULT_STAGE_NANOS = 50_000_000L;

  /** Quantile of the durations in proportion to which time is divided among stages. */
  private static final double SHARE_QUANTILE = 0.95;

  /**
   * Quantile of the durations that is taken as the least time a stage needs. It is low since a
   * refusal is final: a request is refused only if nine in ten of the measured calls took longer
   * than it can.
   */
  private static final double NEED_QUANTILE = 0.1;

  private final Map<StageKey, StageTimes> timesByStage = new HashMap<>();

  private DeadlinePlanner() {}

  /** Returns a planner without samples. */
  public static DeadlinePlanner create() {
    return new DeadlinePlanner();
  }

  /** Records the duration of an answered stage, in nanoseconds from its call to its answer. */
  public void observed(StageKey stage, long durationNanos) {
    timesByStage.computeIfAbsent(stage, key -> new StageTimes()).record(durationNanos);
  }

  /** Removes the samples of a stage that the configuration no longer contains. */
  public void forget(StageKey stage) {
    timesByStage.remove(stage);
  }

  /**
   * Returns the time budget of the next stage of a request.
   *
   * @param remaining stages that have not run, the next one first; not empty
   * @param remainingNanos time until the request's deadline, in nanoseconds
   */
  public StagePlan plan(List<StageKey> remaining, long remainingNanos) {
    double shareSum = 0;
    long neededNanos = 0;
    for (StageKey stage : remaining) {
      shareSum += shareNanos(stage);
      neededNanos += leastNanos(stage);
    }
    long laterStagesNanos = neededNanos - leastNanos(remaining.get(0));
    double nextStageShare = shareNanos(remaining.get(0)) / shareSum;
    long proportionalNanos = (long) (remainingNanos * nextStageShare);
    // The next stage gets its proportional part, but none of the least time that later stages
    // need.
    long budgetNanos = Math.min(proportionalNanos, remainingNanos - laterStagesNanos);
    budgetNanos = Math.max(budgetNanos, Math.min(leastNanos(remaining.get(0)), remainingNanos));
    return new StagePlan(remainingNanos >= neededNanos, Math.max(0, budgetNanos), neededNanos);
  }

  /**
   * Returns the time in nanoseconds after which an attempt of the stage counts as a straggler and
   * may be hedged; empty if there are too few samples.
   */
  public OptionalLong hedgeDelay(StageKey stage) {
    StageTimes measured = measured(stage);
    return measured == null ? OptionalLong.empty() : OptionalLong.of(measured.shareQuantileNanos);
  }

  /** Returns the long duration of a stage, in nanoseconds, in proportion to which it gets time. */
  private double shareNanos(StageKey stage) {
    StageTimes measured = measured(stage);
    long longNanos = measured == null ? DEFAULT_STAGE_NANOS : measured.shareQuantileNanos;
    return Math.max(1, Math.max(stage.minNanos(), longNanos));
  }

  /** Returns the least time in nanoseconds that a stage needs. */
  private long leastNanos(StageKey stage) {
    StageTimes measured = measured(stage);
    long shortNanos = measured == null ? 0 : measured.needQuantileNanos;
    return Math.max(stage.minNanos(), shortNanos);
  }

  private @Nullable StageTimes measured(StageKey stage) {
    StageTimes stageTimes = timesByStage.get(stage);
    return stageTimes == null || stageTimes.histogram.count() < MIN_SAMPLES ? null : stageTimes;
  }

  /**
   * Durations of a stage, with the two quantiles cached so that a plan needn't search the
   * histogram.
   */
  private static final class StageTimes {
    private final LatencyHistogram histogram = LatencyHistogram.create(SAMPLES_PER_HALVING);

    /** Samples until the quantiles are updated. */
    private int samplesUntilRefresh = MIN_SAMPLES;

    private long needQuantileNanos;
    private long shareQuantileNanos;

    private void record(long durationNanos) {
      histogram.record(durationNanos);
      if (--samplesUntilRefresh <= 0) {
        samplesUntilRefresh = MIN_SAMPLES;
        needQuantileNanos = histogram.quantile(NEED_QUANTILE);
        shareQuantileNanos = histogram.quantile(SHARE_QUANTILE);
      }
    }
  }
}
