package org.oriolewell.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.routing.Hashing;

/**
 * Chooses an upstream for a request.
 *
 * <p>Plain services: the least loaded of the nearest healthy upstreams. Engines: the one that most
 * probably keeps the shared part of the prompt, by rendezvous hashing of that part, unless it has
 * much more work than the others (bounded load); reading a shared part again delays everyone's
 * tokens.
 */
public final class Placement {
  /** An engine may have this multiple of the mean load before its prompts go elsewhere. */
  private static final double LOAD_BOUND = 1.5;

  /** Requests above the bound that are always allowed, so that low load never breaks affinity. */
  private static final int LOAD_SLACK = 4;

  private final UpstreamHealth health;
  private final RandomGenerator random;

  private Placement(UpstreamHealth health, RandomGenerator random) {
    this.health = health;
    this.random = random;
  }

  /** Returns a placement that uses a node's observations. */
  public static Placement of(UpstreamHealth health, RandomGenerator random) {
    return new Placement(health, random);
  }

  /**
   * Chooses an upstream of a plain service.
   *
   * @param candidates usable upstreams
   * @param distance cost of reaching an upstream; equal costs are equally near
   * @param excluded upstreams that were tried already
   */
  public Optional<UpstreamInstance> leastLoaded(
      Collection<UpstreamInstance> candidates, Distance distance, Set<String> excluded, long now) {
    List<UpstreamInstance> healthy = healthy(candidates, excluded, now);
    if (healthy.isEmpty()) {
      return Optional.empty();
    }
    int start = random.nextInt(healthy.size());
    UpstreamInstance best = healthy.get(start);
    double bestCost = Double.POSITIVE_INFINITY;
    for (int i = 0; i < healthy.size(); i++) {
      UpstreamInstance candidate = healthy.get((start + i) % healthy.size());
      double cost =
          health.inFlight(candidate.id()) / (double) Math.max(1, candidate.slots())
              + distance.to(candidate)
              + health.level(candidate.id(), now);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return Optional.of(best);
  }

  /** Cost of reaching an upstream, in units of a fully loaded upstream. */
  @FunctionalInterface
  public interface Distance {
    /** Returns the cost. */
    double to(UpstreamInstance upstream);
  }

  /**
   * Chooses an engine.
   *
   * @param candidates usable engines
   * @param affinity hash of the shared part of the prompt
   * @param excluded engines that were tried already
   */
  public Optional<UpstreamInstance> byAffinity(
      Collection<UpstreamInstance> candidates, long affinity, Set<String> excluded, long now) {
    List<UpstreamInstance> healthy = healthy(candidates, excluded, now);
    if (healthy.isEmpty()) {
      return Optional.empty();
    }
    double mean = healthy.stream().mapToInt(e -> health.inFlight(e.id())).average().orElse(0);
    double bound = mean * LOAD_BOUND + LOAD_SLACK;
    List<UpstreamInstance> order = new ArrayList<>(healthy);
    order.sort(
        Comparator.comparingLong(
                (UpstreamInstance engine) -> Hashing.rank(affinity, Hashing.of(engine.id())))
            .reversed());
    return order.stream()
        .filter(engine -> health.inFlight(engine.id()) <= bound)
        .findFirst()
        .or(() -> Optional.of(order.get(0)));
  }

  private List<UpstreamInstance> healthy(
      Collection<UpstreamInstance> candidates, Set<String> excluded, long now) {
    List<UpstreamInstance> left =
        candidates.stream().filter(upstream -> !excluded.contains(upstream.id())).toList();
    List<UpstreamInstance> healthy =
        left.stream()
            .filter(
                upstream ->
                    !health.avoided(upstream.id(), now)
                        || (health.inFlight(upstream.id()) == 0
                            && health.level(upstream.id(), now) < 2))
            .toList();
    return healthy.isEmpty() ? left : healthy;
  }
}
