package org.oriolewell.core.placement;

import java.util.random.RandomGenerator;

/**
 * Load up to which an engine is preferred for the prompt prefixes that it caches.
 *
 * @param ratio multiple of the mean load
 * @param extra load added to that, so that low load never breaks affinity
 * @param spread largest relative deviation of the bound of one choice. Gateways that know the same
 *     sums would otherwise all leave an engine at the same moment, and all return to it.
 */
record EngineBound(double ratio, double extra, double spread) {
  /** Bound on the requests in progress of one gateway. */
  static final EngineBound OWN_REQUESTS = new EngineBound(1.5, 4, 0);

  /** Bound on the unanswered work of all gateways; the figures did best in the replay. */
  static final EngineBound ALL_WORK = new EngineBound(1.75, 2, 0.6);

  /** Returns the bound for one choice on the load of an engine of median speed. */
  double draw(double meanLoad, RandomGenerator random) {
    double deviation = spread == 0 ? 0 : spread * (2 * random.nextDouble() - 1);
    return (meanLoad * ratio + extra) * (1 + deviation);
  }
}
