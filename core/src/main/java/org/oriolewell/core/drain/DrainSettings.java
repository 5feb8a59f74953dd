package org.oriolewell.core.drain;

import java.time.Duration;

/**
 * Time limits of a stopping agent.
 *
 * @param callTimeout longest wait for the calls in flight to end
 * @param releaseTimeout longest wait for the release of the agent's shards, which needs the store
 */
public record DrainSettings(Duration callTimeout, Duration releaseTimeout) {}
