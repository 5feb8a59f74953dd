package org.oriolewell.core.route;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A route of the configuration: which requests it matches and how they are served.
 *
 * @param name name of the route
 * @param host value of the Host header that selects the route
 * @param prefix path prefix that selects the route; begins and ends with a slash
 * @param kind how often a request may run, and how it is answered
 * @param timeout longest time that a caller waits for an answer
 * @param latencyTarget target time until an answer, or until the first event of a stream
 * @param priority rank of the route's requests; 0 is the most urgent
 * @param maxAttempts largest number of upstreams that one request of a caller may be sent to
 * @param targets services that run the requests, with their shares of the traffic
 * @param stages stages that run before the request, by index
 * @param anonymous whether requests need no API key
 * @param resumable whether another upstream may continue a stream
 * @param eventGapTarget target for the longest time between two events of a stream
 * @param allowedRegions regions in which the route's requests may be served
 */
public record Route(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    Duration timeout,
    Duration latencyTarget,
    int priority,
    int maxAttempts,
    List<Target> targets,
    List<StageSpec> stages,
    boolean anonymous,
    boolean resumable,
    Duration eventGapTarget,
    AllowedRegions allowedRegions) {

  /**
   * A service that receives a share of a route's traffic.
   *
   * @param service name of the service
   * @param weight share, relative to the other targets of the route
   */
  public record Target(String service, double weight) {}

  /** Most stages of a route. */
  private static final int MAX_STAGES = 64;

  /**
   * Copies the lists of targets and stages.
   *
   * @throws IllegalArgumentException if there are too many stages, or one of them can never start
   */
  public Route {
    targets = List.copyOf(targets);
    stages = List.copyOf(stages);
    checkStages(name, stages);
  }

  /** Creates a route whose requests may be served in all regions. */
  public Route(
      String name,
      String host,
      String prefix,
      RequestKind kind,
      Duration timeout,
      Duration latencyTarget,
      int priority,
      int maxAttempts,
      List<Target> targets,
      List<StageSpec> stages,
      boolean anonymous,
      boolean resumable,
      Duration eventGapTarget) {
    this(
        name,
        host,
        prefix,
        kind,
        timeout,
        latencyTarget,
        priority,
        maxAttempts,
        targets,
        stages,
        anonymous,
        resumable,
        eventGapTarget,
        AllowedRegions.ALL);
  }

  private static void checkStages(String route, List<StageSpec> stages) {
    if (stages.size() > MAX_STAGES) {
      throw new IllegalArgumentException(
          "route " + route + " has " + stages.size() + " stages; the limit is " + MAX_STAGES);
    }
    Set<Integer> startable = new HashSet<>();
    boolean added = true;
    while (added) {
      added = false;
      for (StageSpec stage : stages) {
        added |= startable.containsAll(stage.inputStages()) && startable.add(stage.index());
      }
    }
    if (startable.size() < stages.size()) {
      throw new IllegalArgumentException(
          "route "
              + route
              + " has stages that can never start: their field after names a stage that doesn't"
              + " exist or that waits for them");
    }
  }

  /** Returns whether a request may be retried after an upstream may have started to run it. */
  public boolean repeatable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable);
  }

  /**
   * Returns the service that runs a request, chosen by the weights of the targets.
   *
   * @param hash hash of the request; the same hash always selects the same service
   */
  public String serviceFor(int hash) {
    double totalWeight = targets.stream().mapToDouble(Target::weight).sum();
    double remainingWeight = totalWeight * ((hash & 0x7fffffff) / (double) Integer.MAX_VALUE);
    for (Target target : targets) {
      remainingWeight -= target.weight();
      if (remainingWeight < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }
}
