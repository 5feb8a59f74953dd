package org.oriolewell.agent;

import java.time.Instant;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.PipelineSpec;
import org.oriolewell.core.config.PoolSpec;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.core.config.UpstreamSpec;
import org.oriolewell.runtime.config.ConfigPeer;
import org.oriolewell.runtime.wire.Message;

/** Source of the configuration in force, which peers of the agent distribute. */
interface ConfigFeed extends AutoCloseable {
  /**
   * Returns the configuration in force; version 0 if none is known. May be called on any thread.
   */
  ConfigDocument current();

  /** Adds a listener that is called on the agent's loop with each newer configuration. */
  void onChange(Consumer<ConfigDocument> listener);

  /** Adds a connected peer, with the configuration version that its HELLO message carries. */
  void connected(ConfigPeer peer, long peerVersion);

  /** Called with the configuration version that a peer's heartbeat carries. */
  void versionReceived(ConfigPeer peer, long peerVersion);

  /** Handles a peer's message; returns false if the message isn't about the configuration. */
  boolean received(ConfigPeer peer, Message message);

  /** Removes a peer that has disconnected. */
  void disconnected(ConfigPeer peer);

  /** Checks whether the configuration is outdated for too long; called about every 50 ms. */
  void tick(Instant currentTime);

  @Override
  void close();

  /** Returns the configuration of a pipeline's stage, or null if there is none. */
  default @Nullable StageSpec stage(String pipeline, int stageIndex) {
    PipelineSpec pipelineSpec = current().pipelines().get(pipeline);
    return pipelineSpec == null || stageIndex < 0 || stageIndex >= pipelineSpec.stages().size()
        ? null
        : pipelineSpec.stages().get(stageIndex);
  }

  /** Returns whether an HTTP status of the pool's upstreams means that a call did not run. */
  default boolean notExecuted(String pool, int status) {
    PoolSpec poolSpec = current().pools().get(pool);
    return poolSpec != null && poolSpec.notExecutedStatuses().contains(status);
  }

  /** Returns the configuration of a host's upstream, or null if there is none. */
  default @Nullable UpstreamSpec upstream(String host) {
    return current().upstreams().get(host);
  }
}
