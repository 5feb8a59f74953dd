package org.oriolewell.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.oriolewell.core.eligibility.CallScope;
import org.oriolewell.core.overload.StageAdmission;
import org.oriolewell.core.overload.StageAdmission.Decision;
import org.oriolewell.core.overload.StageAdmission.Estimate;
import org.oriolewell.core.placement.RegionAffinity;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.AllowedRegions;
import org.oriolewell.core.route.Route;
import org.oriolewell.core.stage.StageLoad;
import org.oriolewell.core.stage.StageProgress;
import org.oriolewell.gateway.RequestDialect.Intent;

/** Computes the estimates of each region and lets {@link StageAdmission} decide on a request. */
final class RequestAdmission {
  /** Time that stands for an infinite one in the log, in milliseconds. */
  static final long MAX_LOGGED_MILLIS = 1_000_000;

  private final GatewayComponents components;
  private final Route route;
  private final String serviceName;
  private final int rank;
  private final Intent intent;
  private final AllowedRegions allowedRegions;
  private final double firstByteMillis;
  private final double correctionMillis;

  /**
   * Creates the admission check of one request.
   *
   * @param serviceName service that runs the request after its stages
   * @param rank urgency of the request, the lowest first
   * @param allowedRegions regions in which the request may be served
   */
  RequestAdmission(
      GatewayComponents components,
      Route route,
      String serviceName,
      int rank,
      Intent intent,
      AllowedRegions allowedRegions) {
    this.components = components;
    this.intent = intent;
    this.route = route;
    this.serviceName = serviceName;
    this.rank = rank;
    this.allowedRegions = allowedRegions;
    long now = components.loop().now();
    this.firstByteMillis = components.firstByteTimes().expectedMillis(route.name(), now);
    this.correctionMillis = components.forecastBias().correctionMillis(route.name(), now);
  }

  /**
   * Parts of the expected time until the first byte of an answer, in milliseconds.
   *
   * @param stagesMillis time of the stages; at most {@value #MAX_LOGGED_MILLIS}
   * @param firstByteMillis time from sending the request to an upstream until the first byte
   * @param correctionMillis mean error of earlier forecasts as far as it is corrected; may be
   *     negative
   */
  record Parts(long stagesMillis, long firstByteMillis, long correctionMillis) {}

  /** Returns the milliseconds that were added to all estimates to correct earlier errors. */
  double correctionMillis() {
    return correctionMillis;
  }

  /** Returns the parts of an expected time that {@link #decide} has returned. */
  Parts parts(double expectedMillis) {
    return new Parts(
        (long) Math.min(expectedMillis - firstByteMillis - correctionMillis, MAX_LOGGED_MILLIS),
        (long) firstByteMillis,
        (long) correctionMillis);
  }

  /**
   * Decides whether the request is accepted, and which region serves it.
   *
   * @param progress stages of the request, none of which has started
   * @param firstByteDueAt latest time of the first byte within the target, monotonic nanoseconds
   * @param deadline time at which the caller gives up, monotonic nanoseconds
   */
  Decision decide(StageProgress progress, long firstByteDueAt, long deadline) {
    List<Estimate> estimates = estimates(progress);
    long now = components.loop().now();
    return StageAdmission.decide(
        estimates,
        GatewayComponents.millisBetween(now, firstByteDueAt),
        GatewayComponents.millisBetween(now, deadline));
  }

  /** Returns the region that serves the request if it has no stages; empty if none can. */
  Optional<String> regionWithoutStages() {
    int[] noPieces = new int[route.stages().size()];
    return StageAdmission.cheapestRegion(estimates(StageProgress.of(route.stages(), noPieces)));
  }

  private List<Estimate> estimates(StageProgress progress) {
    Map<String, Integer> upstreamsByRegion = new HashMap<>();
    for (UpstreamInstance upstream : reachable(serviceName)) {
      if (components.upstreamStatements().mayBeUsed(upstream)) {
        upstreamsByRegion.merge(components.regions().regionOf(upstream.zone()), 1, Integer::sum);
      }
    }
    Optional<String> home = RegionAffinity.home(intent.affinityHash(), upstreamsByRegion);
    List<Estimate> estimates = new ArrayList<>();
    for (String region : upstreamsByRegion.keySet()) {
      if (stagesReachable(progress, region)) {
        estimates.add(estimate(progress, region, home.filter(r -> !r.equals(region)).isPresent()));
      }
    }
    return estimates;
  }

  private Estimate estimate(StageProgress progress, String region, boolean outsideHome) {
    return new Estimate(
        region,
        region.equals(components.control().self().region()),
        expectedFirstByteMillis(progress, region, rank),
        expectedFirstByteMillis(progress, region, StageLoad.LATE_RANK),
        outsideHome ? RegionAffinity.costOutsideHomeMillis(intent.promptSize()) : 0);
  }

  private List<UpstreamInstance> reachable(String service) {
    return components
        .eligibility()
        .reachable(
            components.control().roster().usable(service),
            new CallScope(allowedRegions, rank),
            components.loop().now());
  }

  private boolean anyIn(String region, List<UpstreamInstance> upstreams) {
    return upstreams.stream()
        .anyMatch(upstream -> components.regions().regionOf(upstream.zone()).equals(region));
  }

  /**
   * Returns whether no stage lacks an upstream in a region because of a rule. An upstream that
   * isn't listed yet may be listed before the stage starts.
   */
  private boolean stagesReachable(StageProgress progress, String region) {
    return route.stages().stream()
        .filter(stage -> !progress.isDone(stage.index()))
        .allMatch(
            stage ->
                anyIn(region, reachable(stage.service()))
                    || (!allowedRegions.restricted()
                        && !anyIn(region, components.control().roster().usable(stage.service()))));
  }

  private double expectedFirstByteMillis(StageProgress progress, String region, int workRank) {
    return progress.remainingMillis(
            (stage, offset) ->
                components
                    .stageCoordinator()
                    .expectedMillis(route.stages().get(stage).service(), region, workRank, offset))
        + firstByteMillis
        + correctionMillis;
  }
}
