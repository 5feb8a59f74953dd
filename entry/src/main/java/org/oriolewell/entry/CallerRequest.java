package org.oriolewell.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.call.CallId;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.PipelineSpec;
import org.oriolewell.core.config.PoolSpec;

/**
 * A caller's request, checked against the configuration.
 *
 * @param pipeline name of the pipeline
 * @param config configuration when the request arrived; it applies to the whole request
 * @param spec the pipeline in that configuration
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
    ConfigDocument config,
    PipelineSpec spec,
    String workspace,
    String firm,
    int priority,
    Duration deadline,
    @Nullable String key,
    JsonNode input,
    boolean stream,
    long fingerprint) {
  /**
   * Returns the name of the shard that a non-idempotent call belongs to.
   *
   * @param stage index of the stage
   */
  String shard(int stage, String callKey) {
    return shard(config, workspace, pipeline, stage, callKey);
  }

  /** Returns the name of the shard of a call; a pool that names no shards has one. */
  static String shard(
      ConfigDocument config, String workspace, String pipeline, int stage, String key) {
    PipelineSpec spec = Objects.requireNonNull(config.pipelines().get(pipeline));
    String pool = spec.stages().get(stage).pool();
    PoolSpec settings = config.pools().get(pool);
    int shards = settings == null ? 1 : Math.max(1, settings.shards());
    return CallId.shardName(pool, CallId.of(workspace, pipeline, stage, key).shardIndex(shards));
  }
}
