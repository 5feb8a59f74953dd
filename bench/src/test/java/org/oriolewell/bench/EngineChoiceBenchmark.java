package org.oriolewell.bench;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
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
import org.oriolewell.core.capacity.CapacitySums;
import org.oriolewell.core.capacity.SharedCapacity;
import org.oriolewell.core.capacity.StreamPace;
import org.oriolewell.core.capacity.UnansweredWork;
import org.oriolewell.core.placement.Placement;
import org.oriolewell.core.placement.UpstreamHealth;
import org.oriolewell.core.roster.Ipv4SocketAddress;
import org.oriolewell.core.roster.UpstreamInstance;

/** Cost of choosing an engine by learned capacity, and of measuring a stream. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class EngineChoiceBenchmark {
  private static final long GAP_NANOS = 20_000_000;

  /** Engines of the service in the region. */
  @Param({"40", "740"})
  public int engines;

  private final SharedCapacity capacity = SharedCapacity.of(UnansweredWork.create());
  private final Placement placement =
      Placement.of(UpstreamHealth.create(), capacity, new SplittableRandom(1));
  private final StreamPace pace = StreamPace.of(capacity, "e0");
  private List<UpstreamInstance> upstreams = List.of();
  private long prefix;
  private long now;

  /** Fills the view of the engines. */
  @Setup(Level.Trial)
  public void fill() {
    upstreams =
        IntStream.range(0, engines)
            .mapToObj(
                i ->
                    new UpstreamInstance(
                        "i-" + i, 1, "engine", new Ipv4SocketAddress(1, i), "z", 64, false))
            .toList();
    capacity.received(
        new CapacitySums(
            upstreams.stream().map(UpstreamInstance::id).toList(),
            IntStream.range(0, engines).mapToObj(i -> i % 30).toList(),
            IntStream.range(0, engines).mapToObj(i -> i % 3 * 3 - 3).toList()),
        1);
  }

  /** One choice by prompt prefix. */
  @Benchmark
  public Optional<UpstreamInstance> choice() {
    return placement.byAffinity(upstreams, prefix++, Set.of(), 1);
  }

  /** One event of a stream. */
  @Benchmark
  public void event() {
    now += GAP_NANOS;
    pace.received(1, now);
  }
}
