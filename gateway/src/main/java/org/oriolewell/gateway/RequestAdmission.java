package org.oriolewell.gateway;

import java.util.ArrayList;
import java.util.List;
import org.oriolewell.core.overload.StageAdmission;
import org.oriolewell.core.overload.StageAdmission.Decision;
import org.oriolewell.core.overload.StageAdmission.Estimate;
import org.oriolewell.core.route.Route;
import org.oriolewell.core.stage.StageLoad;
import org.oriolewell.core.stage.StageProgress;

/** Gathers what {@link StageAdmission} decides with: the forecasts of each region. */
final class RequestAdmission {
  private final Services services;
  private final Route route;
  private final String service;
  private final int rank;

  /**
   * Creates an admission of one request.
   *
   * @param service service that runs the request after its stages
   * @param rank urgency of the request
   */
  RequestAdmission(Services services, Route route, String service, int rank) {
    this.services = services;
    this.route = route;
    this.service = service;
    this.rank = rank;
  }

  /**
   * Decides whether and where the request is served.
   *
   * @param targetAt moment up to which the first byte is on time, monotonic nanoseconds
   * @param giveUpAt moment at which the caller gives up, monotonic nanoseconds
   */
  Decision decide(StageProgress progress, long targetAt, long giveUpAt) {
    List<Estimate> estimates = new ArrayList<>();
    for (String region : services.regions().all()) {
      estimates.add(estimate(progress, region));
    }
    long now = services.loop().now();
    Decision decision =
        StageAdmission.decide(
            estimates, Services.millis(now, targetAt), Services.millis(now, giveUpAt));
    if (decision instanceof Decision.Refuse) {
      services.bias().refused(route.name());
    }
    return decision;
  }

  private Estimate estimate(StageProgress progress, String region) {
    boolean own = region.equals(services.control().self().region());
    boolean served =
        services.control().roster().usable(service).stream()
            .anyMatch(upstream -> services.regions().of(upstream.zone()).equals(region));
    return served
        ? new Estimate(
            region,
            own,
            forecast(progress, region, rank),
            forecast(progress, region, StageLoad.LATE_RANK))
        : new Estimate(region, own, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
  }

  private double forecast(StageProgress progress, String region, int workRank) {
    return progress.remainingMillis(
            (stage, offset) ->
                services
                    .desk()
                    .expectedMillis(route.stages().get(stage).service(), region, workRank, offset))
        + services.firstByteTimes().expectedMillis(route.name())
        + services.bias().millis(route.name());
  }
}
