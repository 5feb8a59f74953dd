package org.oriolewell.core.config;

import org.jspecify.annotations.Nullable;

/**
 * One stage of a pipeline.
 *
 * @param name name, unique in its pipeline
 * @param pool pool whose upstreams run the stage
 * @param operation operation at the upstream
 * @param idempotent whether the stage may run more than once for a request
 * @param minMillis shortest time the stage needs, in milliseconds
 * @param model model of a generating stage; null for other stages
 * @param maxTokens longest answer of a generating stage; 0 for other stages
 */
public record StageSpec(
    String name,
    String pool,
    String operation,
    boolean idempotent,
    long minMillis,
    @Nullable String model,
    int maxTokens) {}
