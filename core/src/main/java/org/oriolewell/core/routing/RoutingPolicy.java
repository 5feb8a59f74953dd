package org.oriolewell.core.routing;

/** Chooses an upstream of one pool. {@link Router} is the policy in use; see {@link Baselines}. */
@FunctionalInterface
public interface RoutingPolicy {
  /**
   * Chooses an upstream.
   *
   * @param request what is to be routed
   * @param now monotonic time in nanoseconds
   */
  Choice choose(RouteRequest request, long now);
}
