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

/** Supplies the configuration in force. */
interface ConfigFeed extends AutoCloseable {
  /** Returns the configuration in force; version 0 if none is known yet. May be called anywhere. */
  ConfigDocument current();

  /** Calls the listener with each higher version, on the agent's loop. */
  void onChange(Consumer<ConfigDocument> listener);

  /** Adds a peer whose HELLO named a version. */
  void connected(ConfigPeer peer, long version);

  /** Tells the version that a peer named in a heartbeat. */
  void versionReceived(ConfigPeer peer, long version);

  /** Handles a peer's message; returns false if it isn't one of the configuration's. */
  boolean received(ConfigPeer peer, Message message);

  /** Removes a peer. */
  void disconnected(ConfigPeer peer);

  /** Lets time pass. */
  void tick(Instant now);

  @Override
  void close();

  /** Returns a stage's settings, or null if the configuration doesn't have it. */
  default @Nullable StageSpec stage(String pipeline, int index) {
    PipelineSpec spec = current().pipelines().get(pipeline);
    return spec == null || index < 0 || index >= spec.stages().size()
        ? null
        : spec.stages().get(index);
  }

  /** Returns whether a status of the pool's upstreams means that a call did not run. */
  default boolean notExecuted(String pool, int status) {
    PoolSpec spec = current().pools().get(pool);
    return spec != null && spec.notExecutedStatuses().contains(status);
  }

  /** Returns a host's upstream settings, or null if the configuration has none. */
  default @Nullable UpstreamSpec upstream(String host) {
    return current().upstreams().get(host);
  }
}
