package org.oriolewell.core.routing;

import java.util.List;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.oriolewell.core.routing.Choice.Reason;

/**
 * Simple routing policies for comparisons with {@link Router}. They know all members of the pool.
 */
public final class Baselines {
  private Baselines() {}

  /**
   * Returns a policy that chooses each member with the same probability.
   *
   * @param members host names of the pool's upstreams
   * @param random source of random numbers
   */
  public static RoutingPolicy random(List<String> members, RandomGenerator random) {
    return (request, now) -> choiceOf(members.get(random.nextInt(members.size())));
  }

  /** Returns a policy that chooses the pool's members in turn. */
  public static RoutingPolicy roundRobin(List<String> members) {
    int[] nextIndex = {0};
    return (request, now) -> choiceOf(members.get(Math.floorMod(nextIndex[0]++, members.size())));
  }

  /**
   * Returns a policy that chooses the member with the least reported load, the first of equals.
   *
   * @param members host names of the pool's upstreams
   * @param reportedLoad returns the last load that a member reported
   */
  public static RoutingPolicy leastReported(
      List<String> members, ToIntFunction<String> reportedLoad) {
    return (request, now) -> {
      String best = members.get(0);
      for (String member : members) {
        best = reportedLoad.applyAsInt(member) < reportedLoad.applyAsInt(best) ? member : best;
      }
      return choiceOf(best);
    };
  }

  /**
   * Returns a policy that draws two members at random, ignoring zones and regions, and chooses the
   * one with fewer calls of this process in flight.
   *
   * @param members host names of the pool's upstreams
   * @param inFlight returns the number of this process's calls in flight at a member
   * @param random source of random numbers
   */
  public static RoutingPolicy placeBlind(
      List<String> members, ToIntFunction<String> inFlight, RandomGenerator random) {
    return (request, now) -> {
      String first = members.get(random.nextInt(members.size()));
      String second = members.get(random.nextInt(members.size()));
      return choiceOf(inFlight.applyAsInt(second) < inFlight.applyAsInt(first) ? second : first);
    };
  }

  private static Choice choiceOf(String name) {
    return new Choice("", List.of(), name, Reason.BASELINE);
  }
}
