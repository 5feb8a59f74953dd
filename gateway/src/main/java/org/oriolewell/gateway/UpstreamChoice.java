package org.oriolewell.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.oriolewell.core.eligibility.CallScope;
import org.oriolewell.core.eligibility.Reason;
import org.oriolewell.core.eligibility.Screening;
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

  /** Added to a time for callers, so that its header isn't rounded to an earlier one. */
  private static final Duration RETRY_AFTER_RESOLUTION = Duration.ofMillis(1);

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
    Screening screening = screen(rank);
    components.metrics().placedElsewhere(screening.reasons());
    return choose(withoutRefusals(screening), region);
  }

  /** Returns whether an upstream that needs no permit is left for another attempt. */
  boolean anyUnlimited(String region, int rank) {
    return choose(screen(rank).allowed(), region).isPresent();
  }

  /** Returns the zone of the engine that would run the request now; empty if there is none. */
  String engineZone(String region, int rank) {
    return chooseEngine(withoutRefusals(screen(rank)), region)
        .map(UpstreamInstance::zone)
        .orElse("");
  }

  /** Sorts the upstreams of the service by whether the request may be sent to them now. */
  Screening screen(int rank) {
    return components
        .eligibility()
        .screen(
            components.control().roster().usable(serviceName),
            new CallScope(allowedRegions, rank),
            components.loop().now());
  }

  /** Returns whether the service has upstreams, but rules block all of them for an unknown time. */
  boolean unreachable(int rank) {
    List<UpstreamInstance> usable = components.control().roster().usable(serviceName);
    return !usable.isEmpty()
        && components
            .eligibility()
            .reachable(usable, new CallScope(allowedRegions, rank), components.loop().now())
            .isEmpty();
  }

  /**
   * Returns the earliest time from which an upstream may be used, if all are blocked and one of
   * them pauses; empty otherwise.
   */
  Optional<Duration> earliestPauseEnd(int rank) {
    Screening screening = screen(rank);
    return screening.unblocked().isEmpty() && screening.reasons().contains(Reason.PAUSED)
        ? screening.shortestBlock().map(time -> time.plus(RETRY_AFTER_RESOLUTION))
        : Optional.empty();
  }

  /** Returns whether all upstreams that the request may reach pause. */
  boolean allPaused(int rank) {
    List<UpstreamInstance> usable = components.control().roster().usable(serviceName);
    return components
        .upstreamStatements()
        .allPaused(
            components
                .eligibility()
                .reachable(usable, new CallScope(allowedRegions, rank), components.loop().now()));
  }

  private List<UpstreamInstance> withoutRefusals(Screening screening) {
    List<UpstreamInstance> unblocked = screening.unblocked();
    return permitRefusals.isEmpty()
        ? unblocked
        : unblocked.stream().filter(u -> !permitRefusals.contains(u.id())).toList();
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
