package org.oriolewell.core.routing;

/**
 * Chooses an upstream of one pool for a call. Processes use {@link Router}; {@link Baselines} are
 * for comparisons.
 */
@FunctionalInterface
public interface RoutingPolicy {
  /**
   * Chooses an upstream for a call.
   *
   * @param request properties of the call
   * @param now monotonic time in nanoseconds
   */
  Choice choose(RouteRequest request, long now);
}
