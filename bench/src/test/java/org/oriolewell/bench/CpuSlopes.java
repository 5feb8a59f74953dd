package org.oriolewell.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.Locale;

/**
 * Runs the benchmarks' methods in one thread and prints its processor time per operation: the
 * median of nine rounds with the lowest and highest. On a busy machine this says more than elapsed
 * time, which JMH measures and which includes waiting for a processor.
 */
public final class CpuSlopes {
  private static final int ROUNDS = 9;

  private CpuSlopes() {}

  /** Measures and prints; takes no arguments. */
  public static void main(String[] args) {
    for (int upstreams : new int[] {10, 100, 740}) {
      RouterBenchmark router = new RouterBenchmark();
      router.upstreams = upstreams;
      router.fill();
      print("route a call, upstreams", upstreams, 300_000, router::call);
      print("route a generation, upstreams", upstreams, 300_000, router::generation);
      print("update of the router, upstreams", upstreams, 2_000, router::update);
      MembershipBenchmark membership = new MembershipBenchmark();
      membership.upstreams = upstreams;
      membership.fill();
      print("membership tick, upstreams", upstreams, 20_000, membership::tick);
      print("heartbeat, upstreams", upstreams, 300_000, membership::heartbeat);
    }
    for (int workspaces : new int[] {10, 100, 1100}) {
      AdmissionBenchmark admission = new AdmissionBenchmark();
      admission.workspaces = workspaces;
      admission.fill();
      print("offer and end, workspaces", workspaces, 300_000, admission::offerAndFinish);
      print("admission tick, workspaces", workspaces, 20_000, admission::tick);
      print("offer to a full queue, workspaces", workspaces, 50_000, admission::offerToFullQueue);
    }
    for (int pipelines : new int[] {10, 21, 210}) {
      PipelineBenchmark pipeline = new PipelineBenchmark();
      pipeline.pipelines = pipelines;
      pipeline.fill();
      print("deadline plan, pipelines", pipelines, 300_000, pipeline::plan);
      print("stage time, pipelines", pipelines, 300_000, pipeline::observed);
      print("retry budget, pipelines", pipelines, 300_000, pipeline::retry);
    }
  }

  private static void print(String name, int size, int operations, Runnable operation) {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    double[] nanos = new double[ROUNDS];
    for (int round = -4; round < ROUNDS; round++) {
      long start = threads.getCurrentThreadCpuTime();
      for (int i = 0; i < operations; i++) {
        operation.run();
      }
      if (round >= 0) {
        nanos[round] = (double) (threads.getCurrentThreadCpuTime() - start) / operations;
      }
    }
    Arrays.sort(nanos);
    System.out.printf(
        Locale.ROOT,
        "| %s %d | %.0f (%.0f–%.0f) ns |%n",
        name,
        size,
        nanos[ROUNDS / 2],
        nanos[0],
        nanos[ROUNDS - 1]);
  }
}
