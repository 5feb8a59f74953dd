package org.oriolewell.core.config;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigChange.Kind;

/** Turns one document into the next. */
public final class ConfigEditor {
  private ConfigEditor() {}

  /**
   * A command of an operator: one or more changes that take effect together.
   *
   * @param commandId identity, made once by the operator's program and kept in each retry
   * @param operator operator's name
   * @param expectedVersion version that the operator saw; the command fails at any other
   * @param text text of the command
   * @param changes changes in order
   */
  public record Command(
      String commandId,
      String operator,
      long expectedVersion,
      String text,
      List<ConfigChange> changes) {
    /** Copies the changes. */
    public Command {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Returns the next document, with a record of the change.
   *
   * @throws RejectedChangeException if a change doesn't fit the document or the result isn't valid
   */
  public static ConfigDocument next(ConfigDocument base, Command command, Instant now)
      throws RejectedChangeException {
    Draft draft = new Draft(base);
    for (ConfigChange change : command.changes()) {
      draft.apply(change);
    }
    ConfigDocument changed = draft.document(base.version() + 1, base.changes());
    if (ConfigObjects.difference(base, changed).isEmpty()) {
      throw rejected("The command changes nothing; version " + base.version() + " is like this.");
    }
    ChangeRecord record =
        new ChangeRecord(
            changed.version(),
            command.commandId(),
            command.operator(),
            now.toEpochMilli(),
            command.text(),
            ConfigObjects.difference(changed, base).toString(),
            ConfigObjects.difference(base, changed).toString());
    ConfigDocument next =
        draft.document(changed.version(), ChangeLog.append(base.changes(), record));
    List<String> problems = ConfigValidation.problems(base, next);
    if (!problems.isEmpty()) {
      throw new RejectedChangeException(problems);
    }
    return next;
  }

  private static RejectedChangeException rejected(String problem) {
    return new RejectedChangeException(List.of(problem));
  }

  /** A document under change. */
  private static final class Draft {
    private final ConfigDocument base;
    private final Map<String, FirmSpec> firms;
    private final Map<String, WorkspaceSpec> workspaces;
    private final Map<String, PoolSpec> pools;
    private final Map<String, PipelineSpec> pipelines;
    private final Map<String, UpstreamSpec> upstreams;

    Draft(ConfigDocument base) {
      this.base = base;
      firms = new HashMap<>(base.firms());
      workspaces = new HashMap<>(base.workspaces());
      pools = new HashMap<>(base.pools());
      pipelines = new HashMap<>(base.pipelines());
      upstreams = new HashMap<>(base.upstreams());
    }

    ConfigDocument document(long version, List<ChangeRecord> changes) {
      return new ConfigDocument(
          ConfigDocument.SCHEMA, version, firms, workspaces, pools, pipelines, upstreams, changes);
    }

    void apply(ConfigChange change) throws RejectedChangeException {
      if (change instanceof ConfigChange.CreateFirm c) {
        create(firms, "firm", c.name(), c.spec());
      } else if (change instanceof ConfigChange.SetFirm c) {
        existing(firms, "firm", c.name());
        firms.put(c.name(), new FirmSpec(c.share()));
      } else if (change instanceof ConfigChange.CreateWorkspace c) {
        create(workspaces, "workspace", c.name(), c.spec());
      } else if (change instanceof ConfigChange.SetWorkspace c) {
        set(c);
      } else if (change instanceof ConfigChange.CreatePool c) {
        create(pools, "pool", c.name(), c.spec());
      } else if (change instanceof ConfigChange.SetPool c) {
        set(c);
      } else if (change instanceof ConfigChange.CreatePipeline c) {
        create(pipelines, "pipeline", c.name(), c.spec());
      } else if (change instanceof ConfigChange.SetPipeline c) {
        set(c);
      } else if (change instanceof ConfigChange.Remove c) {
        remove(c);
      } else {
        applyToUpstreams(change);
      }
    }

    private void applyToUpstreams(ConfigChange change) throws RejectedChangeException {
      if (change instanceof ConfigChange.Drain c) {
        drain(c.host(), true);
      } else if (change instanceof ConfigChange.Restore c) {
        drain(c.host(), false);
      } else if (change instanceof ConfigChange.SetModel c) {
        Wanted wanted = wanted(c.target());
        put(c.target(), wanted.withModel(c.model(), c.version(), c.adapter()));
      } else if (change instanceof ConfigChange.RemoveModel c) {
        removeModel(c);
      } else if (change instanceof ConfigChange.SetRole c) {
        put(c.target(), wanted(c.target()).withRole(c.role()));
      } else if (change instanceof ConfigChange.RollBack c) {
        rollBack(c.version());
      } else if (change instanceof ConfigChange.Replace c) {
        replace(c.document());
      }
    }

    private static <T> void create(Map<String, T> objects, String kind, String name, T spec)
        throws RejectedChangeException {
      if (objects.putIfAbsent(name, spec) != null) {
        throw rejected(kind + " " + name + " exists already; use set " + kind + " to change it.");
      }
    }

    private static <T> T existing(Map<String, T> objects, String kind, String name)
        throws RejectedChangeException {
      T object = objects.get(name);
      if (object == null) {
        throw rejected(kind + " " + name + " doesn't exist; see show " + kind + "s.");
      }
      return object;
    }

    private void set(ConfigChange.SetWorkspace c) throws RejectedChangeException {
      WorkspaceSpec old = existing(workspaces, "workspace", c.name());
      workspaces.put(
          c.name(),
          new WorkspaceSpec(
              or(c.firm(), old.firm()),
              or(c.weight(), old.weight()),
              or(c.priority(), old.priority())));
    }

    private void set(ConfigChange.SetPool c) throws RejectedChangeException {
      PoolSpec old = existing(pools, "pool", c.name());
      pools.put(
          c.name(),
          new PoolSpec(
              or(c.kind(), old.kind()),
              or(c.shards(), old.shards()),
              or(c.notExecutedStatuses(), old.notExecutedStatuses()),
              or(c.checksFencing(), old.checksFencing()),
              old.role(),
              old.models()));
    }

    private void set(ConfigChange.SetPipeline c) throws RejectedChangeException {
      PipelineSpec old = existing(pipelines, "pipeline", c.name());
      pipelines.put(
          c.name(),
          new PipelineSpec(
              or(c.deadlineMillis(), old.deadlineMillis()), or(c.stages(), old.stages())));
    }

    private static <T> T or(@Nullable T wanted, T old) {
      return wanted == null ? old : wanted;
    }

    private void remove(ConfigChange.Remove c) throws RejectedChangeException {
      Map<String, ?> objects =
          switch (c.kind()) {
            case FIRM -> firms;
            case WORKSPACE -> workspaces;
            case POOL -> pools;
            case PIPELINE -> pipelines;
            case UPSTREAM -> upstreams;
          };
      String kind = c.kind() == Kind.UPSTREAM ? "host" : c.kind().name().toLowerCase(Locale.ROOT);
      existing(objects, kind, c.name());
      objects.remove(c.name());
    }

    private void drain(String host, boolean draining) {
      UpstreamSpec old = upstreams.getOrDefault(host, UpstreamSpec.DEFAULT);
      put(host, new UpstreamSpec(draining, old.role(), old.models()));
    }

    private Wanted wanted(ConfigChange.Target target) throws RejectedChangeException {
      if (target.pool()) {
        PoolSpec pool = existing(pools, "pool", target.name());
        return new Wanted(pool.role(), pool.models());
      }
      UpstreamSpec host = upstreams.getOrDefault(target.name(), UpstreamSpec.DEFAULT);
      return new Wanted(host.role(), host.models());
    }

    private void put(ConfigChange.Target target, Wanted wanted) throws RejectedChangeException {
      if (target.pool()) {
        PoolSpec old = existing(pools, "pool", target.name());
        pools.put(
            target.name(),
            new PoolSpec(
                old.kind(),
                old.shards(),
                old.notExecutedStatuses(),
                old.checksFencing(),
                wanted.role(),
                wanted.models()));
      } else {
        UpstreamSpec old = upstreams.getOrDefault(target.name(), UpstreamSpec.DEFAULT);
        put(target.name(), new UpstreamSpec(old.draining(), wanted.role(), wanted.models()));
      }
    }

    /** Keeps only hosts with settings, since most hosts are replaced within weeks. */
    private void put(String host, UpstreamSpec spec) {
      if (spec.equals(UpstreamSpec.DEFAULT)) {
        upstreams.remove(host);
      } else {
        upstreams.put(host, spec);
      }
    }

    private void removeModel(ConfigChange.RemoveModel c) throws RejectedChangeException {
      Wanted old = wanted(c.target());
      if (old.models().stream().noneMatch(model -> model.model().equals(c.model()))) {
        throw rejected(
            "model " + c.model() + " isn't set on " + c.target().name() + "; see show upstreams.");
      }
      put(c.target(), old.withoutModel(c.model()));
    }

    private void rollBack(long version) throws RejectedChangeException {
      Optional<ConfigDocument> earlier = ConfigHistory.at(base, version);
      if (earlier.isEmpty()) {
        throw rejected(
            "version "
                + version
                + " can't be restored from the kept changes; import an export of it.");
      }
      replace(earlier.get());
    }

    private void replace(ConfigDocument other) {
      replace(firms, other.firms());
      replace(workspaces, other.workspaces());
      replace(pools, other.pools());
      replace(pipelines, other.pipelines());
      replace(upstreams, other.upstreams());
    }

    private static <T> void replace(Map<String, T> objects, Map<String, T> others) {
      objects.clear();
      objects.putAll(others);
    }
  }
}
