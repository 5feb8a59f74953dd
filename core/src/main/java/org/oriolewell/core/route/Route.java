package org.oriolewell.core.route;

import java.time.Duration;
import java.util.List;

/**
 * A route: which requests it takes and how they are served.
 *
 * @param name name of the route
 * @param host value of the Host header that selects the route
 * @param prefix path prefix, beginning and ending with a slash
 * @param kind how often a request may run
 * @param timeout longest time that a caller is kept waiting
 * @param latencyTarget time within which an answer, or the first event of a stream, is on time
 * @param priority rank, 0 first
 * @param maxAttempts most upstreams that one attempt of a caller may be sent to
 * @param targets services with their shares of the traffic
 * @param stages stages that precede the request, by index
 * @param anonymous whether requests need no API key
 * @param resumable whether a stream may go on at another upstream
 * @param gapTarget longest pause between two events of a stream that is on time
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
    Duration gapTarget) {

  /**
   * A service that receives a share of a route's traffic.
   *
   * @param service name of the service
   * @param weight share, relative to the other targets of the route
   */
  public record Target(String service, double weight) {}

  /** Copies the lists. */
  public Route {
    targets = List.copyOf(targets);
    stages = List.copyOf(stages);
  }

  /** Returns whether a request may be sent again after an upstream may have begun to run it. */
  public boolean repeatable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable);
  }

  /**
   * Returns the service for a request.
   *
   * @param hash hash of the request, so that the same request always goes to the same service
   */
  public String serviceFor(int hash) {
    double total = targets.stream().mapToDouble(Target::weight).sum();
    double point = total * ((hash & 0x7fffffff) / (double) Integer.MAX_VALUE);
    for (Target target : targets) {
      point -= target.weight();
      if (point < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }
}
