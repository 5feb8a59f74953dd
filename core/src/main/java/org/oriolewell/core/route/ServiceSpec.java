package org.oriolewell.core.route;

import org.jspecify.annotations.Nullable;

/**
 * A service of the configuration.
 *
 * @param name name of the service
 * @param stageCapacity capacity of each upstream of the service for stages; null if it runs no
 *     stages
 * @param engine whether the upstreams of the service are model engines
 * @param coldStart how upstreams of the service behave after a start
 */
public record ServiceSpec(
    String name, @Nullable StageService stageCapacity, boolean engine, ColdStart coldStart) {
  /** Creates a service whose upstreams are never cold. */
  public ServiceSpec(String name, @Nullable StageService stageCapacity, boolean engine) {
    this(name, stageCapacity, engine, ColdStart.NEVER);
  }
}
