package org.oriolewell.core.route;

import org.jspecify.annotations.Nullable;

/**
 * A service of the configuration.
 *
 * @param name name of the service
 * @param stages capacity of its upstreams for stages; null if it runs none
 * @param engine whether its upstreams are model engines
 */
public record ServiceSpec(String name, @Nullable StageService stages, boolean engine) {}
