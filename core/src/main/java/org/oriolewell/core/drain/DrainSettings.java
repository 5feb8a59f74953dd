package org.oriolewell.core.drain;

import java.time.Duration;

/**
 * Time limits of a planned stop.
 *
 * @param calls longest wait for calls in flight
 * @param release longest wait for the release of shards, which needs the store
 */
public record DrainSettings(Duration calls, Duration release) {}
