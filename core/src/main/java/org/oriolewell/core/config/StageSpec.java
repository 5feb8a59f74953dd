package org.oriolewell.core.config;

import org.jspecify.annotations.Nullable;

/**
 * Configured settings of one stage of a pipeline.
 *
 * @param name name, unique in its pipeline
 * @param pool pool whose upstreams run the stage
 * @param operation operation that the stage calls on the upstream
 * @param idempotent whether an upstream may run the stage more than once for a request
 * @param minMillis shortest time that the stage needs for a request, in milliseconds
 * @param model model of a generating stage; null for other stages
 * @param maxTokens most tokens in the answer of a generating stage; 0 for other stages
 */
public record StageSpec(
    String name,
    String pool,
    String operation,
    boolean idempotent,
    long minMillis,
    @Nullable String model,
    int maxTokens) {}
