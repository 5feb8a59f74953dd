package org.oriolewell.core.config;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** One change of the configuration document. A null field of a Set change keeps the old value. */
public sealed interface ConfigChange {
  /** Kind of a named object of the configuration document. */
  enum Kind {
    /** A firm, the customer that owns workspaces. */
    FIRM,
    /** A workspace of a firm. */
    WORKSPACE,
    /** A pool of upstreams. */
    POOL,
    /** A pipeline of stages. */
    PIPELINE,
    /** Settings of one upstream, named by its host. */
    UPSTREAM
  }

  /**
   * The engines that a model or role is set for: one host, or all hosts of a pool.
   *
   * @param isPool whether the name is that of a pool; otherwise it is that of a host
   * @param name name of the pool or host
   */
  record Target(boolean isPool, String name) {}

  /** Creates a firm. */
  record CreateFirm(String name, FirmSpec spec) implements ConfigChange {}

  /** Changes the share of a firm. */
  record SetFirm(String name, double share) implements ConfigChange {}

  /** Creates a workspace. */
  record CreateWorkspace(String name, WorkspaceSpec spec) implements ConfigChange {}

  /** Changes the settings of a workspace; null fields keep their values. */
  record SetWorkspace(
      String name, @Nullable String firm, @Nullable Double weight, @Nullable Integer priority)
      implements ConfigChange {}

  /** Creates a pool. */
  record CreatePool(String name, PoolSpec spec) implements ConfigChange {}

  /** Changes the settings of a pool; null fields keep their values. */
  record SetPool(
      String name,
      PoolSpec.@Nullable Kind kind,
      @Nullable Integer shards,
      @Nullable List<Integer> notExecutedStatuses,
      @Nullable Boolean checksFencing)
      implements ConfigChange {}

  /** Creates a pipeline. */
  record CreatePipeline(String name, PipelineSpec spec) implements ConfigChange {}

  /** Changes a pipeline; null fields keep their values, and given stages replace all old ones. */
  record SetPipeline(String name, @Nullable Long deadlineMillis, @Nullable List<StageSpec> stages)
      implements ConfigChange {}

  /** Removes a named object. */
  record Remove(Kind kind, String name) implements ConfigChange {}

  /** Stops sending new work to an upstream. */
  record Drain(String host) implements ConfigChange {}

  /** Resumes sending new work to a drained upstream. */
  record Restore(String host) implements ConfigChange {}

  /** Sets the version of a model on the target, and adds the model or its adapter if missing. */
  record SetModel(Target target, String model, String version, @Nullable String adapter)
      implements ConfigChange {}

  /** Removes a model and its adapters from the target. */
  record RemoveModel(Target target, String model) implements ConfigChange {}

  /** Sets the role of the target's engines, such as {@code generate}. */
  record SetRole(Target target, String role) implements ConfigChange {}

  /** Creates a new version with the objects of an earlier version. */
  record RollBack(long version) implements ConfigChange {}

  /** Replaces all objects with those of another document, such as an export. */
  record Replace(ConfigDocument document) implements ConfigChange {}
}
