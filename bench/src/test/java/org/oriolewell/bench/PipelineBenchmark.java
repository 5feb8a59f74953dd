package org.oriolewell.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.oriolewell.core.deadline.DeadlinePlanner;
import org.oriolewell.core.deadline.StageKey;
import org.oriolewell.core.deadline.StagePlan;
import org.oriolewell.core.retry.RetryBudget;
import org.oriolewell.core.retry.RetryBudgetSettings;

/** Cost of deadline plans and the retry budget against the number of pipelines of six stages. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class PipelineBenchmark {
  /** Pipelines. */
  @Param({"10", "21", "210"})
  public int pipelines;

  private final List<List<StageKey>> stages = new ArrayList<>();
  private final DeadlinePlanner planner = DeadlinePlanner.create();
  private final RetryBudget budget = RetryBudget.create(RetryBudgetSettings.defaults());
  private int next;
  private long now;

  /** Measures each stage a hundred times. */
  @Setup(Level.Trial)
  public void fill() {
    for (int p = 0; p < pipelines; p++) {
      List<StageKey> pipeline = new ArrayList<>();
      for (int s = 0; s < 6; s++) {
        pipeline.add(new StageKey("pipeline-" + p, "stage-" + s, 0));
      }
      stages.add(pipeline);
      for (int i = 0; i < 600; i++) {
        planner.observed(pipeline.get(i % 6), (1 + i) * 1_000_000L);
      }
    }
  }

  /** A plan over six stages and the hedge delay of the first. */
  @Benchmark
  public StagePlan plan() {
    List<StageKey> pipeline = stages.get(next());
    planner.hedgeDelay(pipeline.get(0));
    return planner.plan(pipeline, 11_000_000_000L);
  }

  /** The end of a stage. */
  @Benchmark
  public void observed() {
    planner.observed(stages.get(next()).get(0), 20_000_000L);
  }

  /** A first attempt and a second one. */
  @Benchmark
  public boolean retry() {
    now += 1000;
    String pipeline = stages.get(next()).get(0).pipeline();
    budget.attempted(pipeline);
    return budget.tryTake(pipeline, now);
  }

  private int next() {
    next = (next + 1) % pipelines;
    return next;
  }
}
