package org.oriolewell.bench;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
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
import org.oriolewell.core.admission.Admission;
import org.oriolewell.core.admission.AdmissionSettings;
import org.oriolewell.core.admission.Ending;
import org.oriolewell.core.admission.GradientLimit;
import org.oriolewell.core.admission.OfferedCall;
import org.oriolewell.core.admission.Shares;
import org.oriolewell.core.admission.Verdict;

/** Cost of admission against the number of workspaces, with 256 calls in the queue. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class AdmissionBenchmark {
  private static final long FAR = Long.MAX_VALUE / 4;

  /** Workspaces, half of them of each firm. */
  @Param({"10", "100", "1100"})
  public int workspaces;

  private final Queue<Long> running = new ArrayDeque<>();
  private Admission<Long> admission =
      Admission.create(AdmissionSettings.defaults(), GradientLimit.create(8, 8, 8));
  private String[] names = {};
  private long call;
  private long now;

  /** Fills the queue. */
  @Setup(Level.Iteration)
  public void fill() {
    names = new String[workspaces];
    Map<String, Double> weights = new HashMap<>();
    for (int i = 0; i < workspaces; i++) {
      names[i] = "workspace-" + i;
      weights.put(names[i], 1.0 + i % 3);
    }
    running.clear();
    admission = Admission.create(AdmissionSettings.defaults(), GradientLimit.create(8, 8, 8));
    admission.shares(new Shares(Map.of("firm-0", 0.5, "firm-1", 0.5), weights));
    for (int i = 0; i < 8 + 256; i++) {
      offer();
    }
  }

  /** One call through a queue that stays at 256: offer, start of the next one, end. */
  @Benchmark
  public List<Verdict<Long>> offerAndFinish() {
    offer();
    return carryOut(admission.finished(running.remove(), Ending.ANSWERED, now));
  }

  /** One call offered while the queue is full, which drops a call. */
  @Benchmark
  public void offerToFullQueue() {
    offer();
  }

  /** One tick with 256 calls in the queue, none of them late. */
  @Benchmark
  public List<Verdict<Long>> tick() {
    return admission.tick(now);
  }

  private void offer() {
    now += 1000;
    int owner = (int) (call * 7919 % workspaces);
    OfferedCall<Long> work =
        new OfferedCall<>(
            call++, owner % 2 == 0 ? "firm-0" : "firm-1", names[owner], 5, "operation", FAR);
    carryOut(admission.offer(work, now));
  }

  private List<Verdict<Long>> carryOut(List<Verdict<Long>> verdicts) {
    for (Verdict<Long> verdict : verdicts) {
      if (verdict instanceof Verdict.Start) {
        running.add(verdict.call());
      }
    }
    return verdicts;
  }
}
