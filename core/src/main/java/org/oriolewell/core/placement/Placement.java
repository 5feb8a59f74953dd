package org.oriolewell.core.placement;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.oriolewell.core.capacity.CapacitySource;
import org.oriolewell.core.roster.UpstreamInstance;

/**
 * Chooses an upstream for a request.
 *
 * <p>A service without model engines: the healthy upstream with the lowest sum of load, distance
 * and recent failures. Model engines: the one that most probably caches the prompt prefix, by
 * weighted rendezvous hashing of the prefix with bounded load. Processing a prefix again that
 * another engine has cached delays the tokens of all requests of the engine.
 */
public final class Placement {
  private final UpstreamHealth health;
  private final CapacitySource capacity;
  private final EngineBound engineBound;
  private final RandomGenerator random;

  private Placement(
      UpstreamHealth health,
      CapacitySource capacity,
      EngineBound engineBound,
      RandomGenerator random) {
    this.health = health;
    this.capacity = capacity;
    this.engineBound = engineBound;
    this.random = random;
  }

  /** Returns a placement that uses a gateway's observations and takes all engines as equal. */
  public static Placement of(UpstreamHealth health, RandomGenerator random) {
    return new Placement(
        health, CapacitySource.ownRequests(health::inFlight), EngineBound.OWN_REQUESTS, random);
  }

  /** Returns a placement that uses a gateway's observations and what is learned of upstreams. */
  public static Placement of(
      UpstreamHealth health, CapacitySource capacity, RandomGenerator random) {
    return new Placement(health, capacity, EngineBound.ALL_WORK, random);
  }

  /**
   * Chooses an upstream of a service without model engines by load, distance and recent failures.
   * The load is this gateway's own: calls of 15 ms have ended long before the counts of the other
   * gateways arrive, and gateways that used these counts would all choose the same upstreams.
   *
   * @param candidates usable upstreams of the service
   * @param distance cost of reaching an upstream from this gateway
   * @param excludedIds ids of upstreams that the request was sent to already
   * @param now monotonic time in nanoseconds
   */
  public Optional<UpstreamInstance> leastLoaded(
      Collection<UpstreamInstance> candidates,
      Distance distance,
      Set<String> excludedIds,
      long now) {
    List<UpstreamInstance> healthy = healthy(candidates, excludedIds, now);
    if (healthy.isEmpty()) {
      return Optional.empty();
    }
    int startIndex = random.nextInt(healthy.size());
    UpstreamInstance cheapestUpstream = healthy.get(startIndex);
    double lowestCost = Double.POSITIVE_INFINITY;
    for (int i = 0; i < healthy.size(); i++) {
      UpstreamInstance candidate = healthy.get((startIndex + i) % healthy.size());
      double cost =
          health.inFlight(candidate.id()) / (double) Math.max(1, candidate.slots())
              + distance.to(candidate)
              + health.failureScore(candidate.id(), now);
      if (cost < lowestCost) {
        cheapestUpstream = candidate;
        lowestCost = cost;
      }
    }
    return Optional.of(cheapestUpstream);
  }

  /**
   * Cost of reaching an upstream, on the scale of its load; 1 means that all its slots are used.
   */
  @FunctionalInterface
  public interface Distance {
    /** Returns the cost of reaching an upstream. */
    double to(UpstreamInstance upstream);
  }

  /**
   * Chooses a model engine by the request's prompt prefix.
   *
   * @param candidates usable engines
   * @param prefixHash hash of the prompt prefix
   * @param excludedIds ids of engines that the request was sent to already
   * @param now monotonic time in nanoseconds
   */
  public Optional<UpstreamInstance> byAffinity(
      Collection<UpstreamInstance> candidates, long prefixHash, Set<String> excludedIds, long now) {
    List<UpstreamInstance> healthy = healthy(candidates, excludedIds, now);
    if (healthy.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        EngineRanking.of(healthy, capacity, now).choose(prefixHash, engineBound, random));
  }

  private List<UpstreamInstance> healthy(
      Collection<UpstreamInstance> candidates, Set<String> excludedIds, long now) {
    List<UpstreamInstance> notExcluded =
        candidates.stream().filter(upstream -> !excludedIds.contains(upstream.id())).toList();
    List<UpstreamInstance> healthy =
        notExcluded.stream()
            .filter(
                upstream ->
                    !health.isAvoided(upstream.id(), now)
                        || (health.inFlight(upstream.id()) == 0
                            && health.failureScore(upstream.id(), now) < 2))
            .toList();
    return healthy.isEmpty() ? notExcluded : healthy;
  }
}
