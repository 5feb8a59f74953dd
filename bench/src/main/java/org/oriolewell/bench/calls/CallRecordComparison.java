package org.oriolewell.bench.calls;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.oriolewell.bench.model.VirtualTime;

/**
 * Compares ways to record non-idempotent calls: store writes for each call, latency added before a
 * call starts, and the share of calls that start during a store outage. Virtual time; a model, not
 * a measurement of processes.
 *
 * <p>Run: {@code java -cp ... org.oriolewell.bench.calls.CallRecordComparison}.
 */
public final class CallRecordComparison {
  private static final long STORE_NANOS = 3_000_000L;
  private static final Duration GRANT = Duration.ofMillis(1);
  private static final long RUN_NANOS = 120_000_000_000L;
  private static final long OUTAGE_START_NANOS = 60_000_000_000L;
  private static final int SEEDS = 5;

  /** Makes the log of one shard. */
  private interface Variant {
    CallLog create(VirtualTime time, ModelStore store, int shard, Random random);
  }

  /**
   * Result of a run.
   *
   * @param writesPerCall store writes for each call before the outage
   * @param writesPerSecond store writes a second before the outage
   * @param medianMillis median of the added latency
   * @param p99Millis 99th percentile of the added latency
   * @param outageShare share of calls started while the store was away
   */
  public record Result(
      double writesPerCall,
      double writesPerSecond,
      double medianMillis,
      double p99Millis,
      double outageShare) {}

  private CallRecordComparison() {}

  /** Prints the comparison at today's size and at a size of the target. */
  public static void main(String[] args) {
    for (int[] size : new int[][] {{200, 3}, {450, 30}}) {
      System.out.printf(
          Locale.ROOT, "%d calls/s over %d shards, store answers in 3 ms%n", size[0], size[1]);
      print("intent per call", (t, s, i, r) -> new IntentLog(t, s, 1, 0), size);
      print("intents batched", (t, s, i, r) -> new IntentLog(t, s, 1000, 0), size);
      print(
          "intents batched, 100 ms linger",
          (t, s, i, r) -> new IntentLog(t, s, 1000, 100_000_000),
          size);
      print("execution windows", CallRecordComparison::windows, size);
    }
  }

  private static CallLog windows(VirtualTime time, ModelStore store, int shard, Random random) {
    return new WindowLog(time, store, "calls/p/" + shard, random, GRANT);
  }

  /** Returns the result of execution windows. */
  static Result windows(int callsPerSecond, int shards, long seed) {
    return run(CallRecordComparison::windows, callsPerSecond, shards, seed);
  }

  /** Returns the result of intents, all that wait in one write. */
  static Result batchedIntents(int callsPerSecond, int shards, long seed) {
    return run((t, s, i, r) -> new IntentLog(t, s, 1000, 0), callsPerSecond, shards, seed);
  }

  private static void print(String name, Variant variant, int[] size) {
    List<Result> results = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      results.add(run(variant, size[0], size[1], seed));
    }
    System.out.printf(
        Locale.ROOT,
        "  %-32s writes/call %s  writes/s %s  p50 ms %s  p99 ms %s  started in outage %s%n",
        name,
        range(results.stream().map(Result::writesPerCall).toList()),
        range(results.stream().map(Result::writesPerSecond).toList()),
        range(results.stream().map(Result::medianMillis).toList()),
        range(results.stream().map(Result::p99Millis).toList()),
        range(results.stream().map(Result::outageShare).toList()));
  }

  private static String range(List<Double> values) {
    return String.format(
        Locale.ROOT,
        "%.3f..%.3f",
        values.stream().mapToDouble(v -> v).min().orElse(0),
        values.stream().mapToDouble(v -> v).max().orElse(0));
  }

  private static Result run(Variant variant, int callsPerSecond, int shards, long seed) {
    VirtualTime time = new VirtualTime();
    ModelStore store = new ModelStore(time, STORE_NANOS);
    Random random = new Random(seed);
    List<CallLog> logs = new ArrayList<>();
    for (int i = 0; i < shards; i++) {
      logs.add(variant.create(time, store, i, random));
    }
    Load load = new Load(time, logs, callsPerSecond, random);
    load.next();
    time.runUntil(OUTAGE_START_NANOS);
    final long writes = store.writes();
    final long calls = load.calls;
    store.setAway(true);
    time.runUntil(RUN_NANOS);
    return new Result(
        (double) writes / calls,
        writes * 1e9 / OUTAGE_START_NANOS,
        load.latency.getValueAtPercentile(50) / 1e6,
        load.latency.getValueAtPercentile(99) / 1e6,
        (double) load.startedInOutage / (load.calls - calls));
  }

  /** Poisson arrivals over all shards. */
  private static final class Load {
    private final VirtualTime time;
    private final List<CallLog> logs;
    private final double callsPerNano;
    private final Random random;
    private final Histogram latency = new Histogram(60_000_000_000L, 3);
    private long calls;
    private long startedInOutage;

    Load(VirtualTime time, List<CallLog> logs, int callsPerSecond, Random random) {
      this.time = time;
      this.logs = logs;
      this.callsPerNano = callsPerSecond / 1e9;
      this.random = random;
    }

    void next() {
      long gap = (long) (-Math.log(1 - random.nextDouble()) / callsPerNano);
      time.after(gap, this::arrive);
    }

    private void arrive() {
      calls++;
      long arrived = time.now();
      logs.get(random.nextInt(logs.size())).call(() -> started(arrived), () -> {});
      next();
    }

    private void started(long arrived) {
      if (arrived < OUTAGE_START_NANOS) {
        latency.recordValue(Math.max(1, time.now() - arrived));
      } else {
        startedInOutage++;
      }
    }
  }
}
