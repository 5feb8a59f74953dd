package org.oriolewell.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.PipelineSpec;

/**
 * A caller's request, checked against the configuration.
 *
 * @param pipeline name of the pipeline
 * @param spec the pipeline as configured when the request arrived
 * @param workspace name of the workspace
 * @param firm firm of the workspace
 * @param priority priority, 0 (lowest) to 9
 * @param deadline time allowed, from arrival
 * @param key the caller's idempotency key; null if none
 * @param input the input
 * @param stream whether the caller wants a token stream
 * @param fingerprint hash of pipeline, workspace and input, compared between requests with one key
 */
record CallerRequest(
    String pipeline,
    PipelineSpec spec,
    String workspace,
    String firm,
    int priority,
    Duration deadline,
    @Nullable String key,
    JsonNode input,
    boolean stream,
    long fingerprint) {}
