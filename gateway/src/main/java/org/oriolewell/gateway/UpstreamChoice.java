package org.oriolewell.gateway;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.AllowedRegions;

/** Chooses the upstreams of one request, one attempt after the other. */
final class UpstreamChoice {
  /**
   * Cost of sending a request to another availability zone, in units of the load of a full
   * upstream; for services that aren't engines.
   */
  private static final double OTHER_ZONE_COST = 0.25;

  /** Cost of sending a request to another region, in the same unit; that traffic costs money. */
  private static final double OTHER_REGION_COST = 1.5;

  private final GatewayComponents components;
  private final String serviceName;
  private final boolean engines;
  private final long affinity;
  private final AllowedRegions allowedRegions;
  private final Set<String> triedUpstreams = new HashSet<>();

  /** Limited upstreams for which the request was refused a permit. */
  private final Set<String> permitRefusals = new HashSet<>();

  /**
   * Creates the choice for a request that was sent to no upstream.
   *
   * @param engines whether the service consists of model engines
   * @param affinity hash of the part of the prompt that an engine may have in its cache
   * @param allowedRegions regions in which the request may be served
   */
  UpstreamChoice(
      GatewayComponents components,
      String serviceName,
      boolean engines,
      long affinity,
      AllowedRegions allowedRegions) {
    this.components = components;
    this.serviceName = serviceName;
    this.engines = engines;
    this.affinity = affinity;
    this.allowedRegions = allowedRegions;
  }

  /** Records that the request is sent to an upstream, which isn't chosen again. */
  void tried(UpstreamInstance upstream) {
    triedUpstreams.add(upstream.id());
  }

  /** Records that the request was refused a permit for an upstream, which isn't chosen again. */
  void permitRefused(UpstreamInstance upstream) {
    permitRefusals.add(upstream.id());
  }

  /** Returns whether the request was refused a permit for an upstream. */
  boolean anyPermitRefused() {
    return !permitRefusals.isEmpty();
  }

  /**
   * Chooses the upstream of the next attempt.
   *
   * @param region region that serves the request; engines elsewhere are chosen if it has none
   * @param rank urgency of the request; the lowest rank is the most urgent
   */
  Optional<UpstreamInstance> next(String region, int rank) {
    return choose(usableUpstreams(upstream -> permitPossible(upstream, rank)), region);
  }

  /** Returns whether an upstream without a limit is left for another attempt. */
  boolean anyUnlimited(String region) {
    return choose(
            usableUpstreams(upstream -> !components.upstreamLimits().limited(upstream)), region)
        .isPresent();
  }

  /** Returns the zone of the engine that would run the request now; empty if there is none. */
  String engineZone(String region, int rank) {
    return chooseEngine(usableUpstreams(upstream -> permitPossible(upstream, rank)), region)
        .map(UpstreamInstance::zone)
        .orElse("");
  }

  /** Returns the shortest time until a limited upstream may grant a permit; empty if none does. */
  Optional<Duration> shortestBlock(int rank) {
    return permittedUpstreams().stream()
        .map(upstream -> components.upstreamLimits().blockedTime(upstream, rank))
        .filter(time -> !time.isZero())
        .min(Comparator.naturalOrder());
  }

  /**
   * Returns the earliest end of the pauses if nothing may be sent to any upstream of the service
   * and one of them pauses; empty otherwise.
   */
  Optional<Duration> earliestPauseEnd() {
    return components.upstreamStatements().earliestPauseEnd(permittedUpstreams());
  }

  /** Returns whether all upstreams of the service pause, except for those that leave. */
  boolean allPaused() {
    return components.upstreamStatements().allPaused(permittedUpstreams());
  }

  private boolean permitPossible(UpstreamInstance upstream, int rank) {
    return !permitRefusals.contains(upstream.id())
        && components.upstreamLimits().blockedTime(upstream, rank).isZero();
  }

  /** Returns whether the rules of the request allow any upstream of the service. */
  boolean anyPermitted() {
    return !permittedUpstreams().isEmpty();
  }

  private List<UpstreamInstance> permittedUpstreams() {
    List<UpstreamInstance> usable = components.control().roster().usable(serviceName);
    return allowedRegions.restricted()
        ? usable.stream()
            .filter(
                upstream -> allowedRegions.permits(components.regions().regionOf(upstream.zone())))
            .toList()
        : usable;
  }

  private List<UpstreamInstance> usableUpstreams(Predicate<UpstreamInstance> condition) {
    List<UpstreamInstance> usable = components.upstreamStatements().sendable(permittedUpstreams());
    return components.upstreamLimits().anyLimited()
        ? usable.stream().filter(condition).toList()
        : usable;
  }

  private Optional<UpstreamInstance> choose(List<UpstreamInstance> candidates, String region) {
    return engines
        ? chooseEngine(candidates, region)
        : components
            .placement()
            .leastLoaded(candidates, this::transferCost, triedUpstreams, components.loop().now());
  }

  /**
   * Returns the engine of the region that probably has the shared part of the prompt in its cache.
   * Computing that part again costs more than transferring stage results from another zone of the
   * region.
   */
  private Optional<UpstreamInstance> chooseEngine(
      List<UpstreamInstance> candidates, String region) {
    long now = components.loop().now();
    List<UpstreamInstance> regionalCandidates =
        candidates.stream()
            .filter(upstream -> components.regions().regionOf(upstream.zone()).equals(region))
            .toList();
    Optional<UpstreamInstance> regionalChoice =
        components.placement().byAffinity(regionalCandidates, affinity, triedUpstreams, now);
    return regionalChoice.isPresent()
        ? regionalChoice
        : components.placement().byAffinity(candidates, affinity, triedUpstreams, now);
  }

  private double transferCost(UpstreamInstance upstream) {
    if (upstream.zone().equals(components.control().self().zone())) {
      return 0;
    }
    String upstreamRegion = components.regions().regionOf(upstream.zone());
    return upstreamRegion.equals(components.control().self().region())
        ? OTHER_ZONE_COST
        : OTHER_REGION_COST;
  }
}
