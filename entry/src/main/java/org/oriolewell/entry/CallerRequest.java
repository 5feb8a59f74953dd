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
 * A caller's request, validated against the configuration.
 *
 * @param pipeline name of the pipeline
 * @param config configuration in force when the request arrived, used until the request ends
 * @param spec the pipeline in that configuration
 * @param workspace name of the workspace
 * @param firm name of the firm that the workspace belongs to
 * @param priority priority of the request, 0 (lowest) to 9
 * @param deadline longest time from the request's arrival to its end
 * @param key idempotency key given by the caller; null if there is none
 * @param input input of the request, passed to each stage
 * @param stream whether the answer is sent as a stream of tokens
 * @param fingerprint hash of pipeline, workspace and input, which tells apart different requests
 *     with the same idempotency key
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
   * @param stage index of the stage in its pipeline
   * @param callKey idempotency key of the call
   */
  String shard(int stage, String callKey) {
    return shard(config, workspace, pipeline, stage, callKey);
  }

  /**
   * Returns the name of the shard that a call with an idempotency key belongs to; a pool without
   * configured shards has one.
   */
  static String shard(
      ConfigDocument config, String workspace, String pipeline, int stage, String key) {
    PipelineSpec spec = Objects.requireNonNull(config.pipelines().get(pipeline));
    String pool = spec.stages().get(stage).pool();
    PoolSpec poolSpec = config.pools().get(pool);
    int shardCount = poolSpec == null ? 1 : Math.max(1, poolSpec.shards());
    return CallId.shardName(
        pool, CallId.of(workspace, pipeline, stage, key).shardIndex(shardCount));
  }
}
