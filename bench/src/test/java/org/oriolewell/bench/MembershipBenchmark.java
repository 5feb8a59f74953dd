package org.oriolewell.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.oriolewell.core.membership.Member;
import org.oriolewell.core.membership.Membership;
import org.oriolewell.core.membership.MembershipSettings;
import org.oriolewell.core.membership.Proposal;

/** Cost of the failure detector against the number of upstreams in the fleet. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class MembershipBenchmark {
  /** Upstreams; the first 64 are connected. */
  @Param({"10", "100", "740"})
  public int upstreams;

  private final Membership membership =
      Membership.create(MembershipSettings.defaults(), new SplittableRandom(1));
  private long now;

  /** Fills the membership. */
  @Setup
  public void fill() {
    List<Proposal> proposals = new ArrayList<>();
    for (int i = 0; i < upstreams; i++) {
      proposals.add(new Proposal("host-" + i, "zone", "region", false));
    }
    membership.propose(proposals);
    for (int i = 0; i < Math.min(64, upstreams); i++) {
      membership.connected("host-" + i, "a", false);
    }
  }

  /** The periodic tick. */
  @Benchmark
  public boolean tick() {
    now += 50_000_000;
    return membership.tick(now);
  }

  /** A heartbeat and its answer. */
  @Benchmark
  public boolean heartbeat() {
    now += 1_000;
    membership.pingSent("host-3", now);
    return membership.frameReceived("host-3", false);
  }

  /** The candidates after a change. */
  @Benchmark
  public List<Member> candidates() {
    return membership.candidates(now);
  }
}
