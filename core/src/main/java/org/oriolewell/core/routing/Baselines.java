package org.oriolewell.core.routing;

import java.util.List;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.oriolewell.core.routing.Choice.Reason;

/** Simple policies that the router is measured against. They know all members of the pool. */
public final class Baselines {
  private Baselines() {}

  /** Returns a policy that chooses at random. */
  public static RoutingPolicy random(List<String> members, RandomGenerator random) {
    return (request, now) -> chosen(members.get(random.nextInt(members.size())));
  }

  /** Returns a policy that chooses the members in turn. */
  public static RoutingPolicy roundRobin(List<String> members) {
    int[] next = {0};
    return (request, now) -> chosen(members.get(Math.floorMod(next[0]++, members.size())));
  }

  /** Returns a policy that chooses the member with the least reported load, the first of equals. */
  public static RoutingPolicy leastReported(List<String> members, ToIntFunction<String> load) {
    return (request, now) -> {
      String best = members.get(0);
      for (String member : members) {
        best = load.applyAsInt(member) < load.applyAsInt(best) ? member : best;
      }
      return chosen(best);
    };
  }

  /** Returns power of two choices over own calls in flight that ignores zones and regions. */
  public static RoutingPolicy placeBlind(
      List<String> members, ToIntFunction<String> inFlight, RandomGenerator random) {
    return (request, now) -> {
      String one = members.get(random.nextInt(members.size()));
      String two = members.get(random.nextInt(members.size()));
      return chosen(inFlight.applyAsInt(two) < inFlight.applyAsInt(one) ? two : one);
    };
  }

  private static Choice chosen(String name) {
    return new Choice("", List.of(), name, Reason.BASELINE);
  }
}
