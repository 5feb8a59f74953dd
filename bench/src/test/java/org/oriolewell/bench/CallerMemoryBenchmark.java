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
import org.oriolewell.core.overload.CallerHolding;
import org.oriolewell.core.overload.CallerHolding.Kind;
import org.oriolewell.core.overload.CallerMemory;

/** Cost of the account of callers' memory, for a request and for a choice under pressure. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class CallerMemoryBenchmark {
  /** Connections in the account. */
  @Param({"100", "2000"})
  public int connections;

  private CallerMemory memory = CallerMemory.of(1, 0);
  private List<CallerHolding> holdings = List.of();
  private long now;

  /** Fills the account, up to its bound and a little more. */
  @Setup(Level.Iteration)
  public void fill() {
    memory = CallerMemory.of(connections * 10_000L, 0);
    holdings = new ArrayList<>();
    for (int i = 0; i < connections; i++) {
      CallerHolding holding = CallerHolding.of(memory, now);
      memory.add(holding);
      holding.set(Kind.BODY, 10_010, now);
      holdings.add(holding);
    }
  }

  /** Changes of the account that one request with a body in one part causes. */
  @Benchmark
  public boolean request() {
    now += 1000;
    CallerHolding holding = holdings.get((int) (now / 1000 % connections));
    holding.begin(now);
    holding.set(Kind.UNPARSED, 4096, now);
    holding.set(Kind.HEAD, 900, now);
    holding.received(500, now);
    final boolean read = memory.mayRead(holding);
    holding.run();
    holding.set(Kind.UNPARSED, 0, now);
    holding.set(Kind.RUNNING, 500, now);
    holding.set(Kind.RUNNING, 0, now);
    holding.set(Kind.HEAD, 0, now);
    holding.begin(now);
    return read;
  }

  /** Choice of what is given up when the bound is exceeded. */
  @Benchmark
  public List<CallerHolding> overdue() {
    now += 1000;
    return memory.overdue(now);
  }
}
