package org.oriolewell.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
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
import org.oriolewell.core.membership.Member;
import org.oriolewell.core.membership.MemberState;
import org.oriolewell.core.routing.CallResult;
import org.oriolewell.core.routing.Choice;
import org.oriolewell.core.routing.Place;
import org.oriolewell.core.routing.RouteRequest;
import org.oriolewell.core.routing.Router;
import org.oriolewell.core.routing.RouterSettings;

/** Cost of a routing decision against the number of upstreams in the fleet. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class RouterBenchmark {
  /** Upstreams, spread evenly over nine zones in three regions. */
  @Param({"10", "100", "740"})
  public int upstreams;

  private final RouteRequest call = RouteRequest.call(1000);
  private final RouteRequest[] prompts = new RouteRequest[64];
  private Router router =
      Router.create(
          "pool", RouterSettings.defaults(), new Place("", ""), "", new SplittableRandom(1));
  private List<Member> members = List.of();
  private long now;
  private int next;

  /** Fills the router. */
  @Setup(Level.Iteration)
  public void fill() {
    members = new ArrayList<>();
    for (int i = 0; i < upstreams; i++) {
      int zone = i % 9;
      members.add(new Member("host-" + i, "a", "z" + zone, "r" + zone / 3, MemberState.UP));
    }
    router =
        Router.create(
            "pool",
            RouterSettings.defaults(),
            new Place("z0", "r0"),
            "entry-1",
            new SplittableRandom(1));
    router.update(members, now);
    for (int i = 0; i < prompts.length; i++) {
      prompts[i] = RouteRequest.generation(i + 1, 1000);
    }
  }

  /** One call: choice, start, load report and end. */
  @Benchmark
  public Choice call() {
    return route(call);
  }

  /** The same for a generating call with a prompt prefix. */
  @Benchmark
  public Choice generation() {
    return route(prompts[next++ & 63]);
  }

  /** A change of the member list, which selects the subset anew. */
  @Benchmark
  public void update() {
    now += 1000;
    router.update(members, now);
  }

  private Choice route(RouteRequest request) {
    now += 100_000;
    Choice choice = router.choose(request, now);
    String chosen = Objects.requireNonNull(choice.chosen());
    router.started(chosen);
    router.reported(chosen, 0, now);
    router.finished(chosen, CallResult.ANSWERED, 10_000_000, now);
    return choice;
  }
}
