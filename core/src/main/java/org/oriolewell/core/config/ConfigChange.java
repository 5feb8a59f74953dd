package org.oriolewell.core.config;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** One typed change of a document. In a change of an object, null leaves a member as it is. */
public sealed interface ConfigChange {
  /** Kinds of named objects. */
  enum Kind {
    /** A firm. */
    FIRM,
    /** A workspace. */
    WORKSPACE,
    /** A pool of upstreams. */
    POOL,
    /** A pipeline. */
    PIPELINE,
    /** Settings of one upstream, by its host. */
    UPSTREAM
  }

  /**
   * One host, or a whole pool.
   *
   * @param pool whether the name is a pool's; otherwise it's a host's
   * @param name name of the pool or host
   */
  record Target(boolean pool, String name) {}

  /** Creates a firm. */
  record CreateFirm(String name, FirmSpec spec) implements ConfigChange {}

  /** Changes a firm's share. */
  record SetFirm(String name, double share) implements ConfigChange {}

  /** Creates a workspace. */
  record CreateWorkspace(String name, WorkspaceSpec spec) implements ConfigChange {}

  /** Changes a workspace. */
  record SetWorkspace(
      String name, @Nullable String firm, @Nullable Double weight, @Nullable Integer priority)
      implements ConfigChange {}

  /** Creates a pool. */
  record CreatePool(String name, PoolSpec spec) implements ConfigChange {}

  /** Changes a pool. */
  record SetPool(
      String name,
      PoolSpec.@Nullable Kind kind,
      @Nullable Integer shards,
      @Nullable List<Integer> notExecutedStatuses,
      @Nullable Boolean checksFencing)
      implements ConfigChange {}

  /** Creates a pipeline. */
  record CreatePipeline(String name, PipelineSpec spec) implements ConfigChange {}

  /** Changes a pipeline; the stages are replaced as a whole. */
  record SetPipeline(String name, @Nullable Long deadlineMillis, @Nullable List<StageSpec> stages)
      implements ConfigChange {}

  /** Removes an object. */
  record Remove(Kind kind, String name) implements ConfigChange {}

  /** Gives an upstream no new work. */
  record Drain(String host) implements ConfigChange {}

  /** Gives a drained upstream work again. */
  record Restore(String host) implements ConfigChange {}

  /** Sets the version of a model, and adds the model or its adapter if it's missing. */
  record SetModel(Target target, String model, String version, @Nullable String adapter)
      implements ConfigChange {}

  /** Removes a model with its adapters. */
  record RemoveModel(Target target, String model) implements ConfigChange {}

  /** Sets the role of engines. */
  record SetRole(Target target, String role) implements ConfigChange {}

  /** Makes a new version with the objects of an earlier one. */
  record RollBack(long version) implements ConfigChange {}

  /** Replaces all objects by those of another document, such as an export. */
  record Replace(ConfigDocument document) implements ConfigChange {}
}
