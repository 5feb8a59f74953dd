package org.oriolewell.core.config;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigChange.Kind;

/** Applies the changes of a command to a document, which gives the next version. */
public final class ConfigEditor {
  private ConfigEditor() {}

  /**
   * A command of an operator, with one or more changes that take effect together.
   *
   * @param commandId id that the operator's program creates once and repeats in each retry
   * @param operator name of the operator
   * @param expectedVersion version that the command applies to; it fails at any other version
   * @param text text of the command, as the change log and the audit keep it
   * @param changes changes in the order in which they are applied
   */
  public record Command(
      String commandId,
      String operator,
      long expectedVersion,
      String text,
      List<ConfigChange> changes) {
    /** Copies the list of changes. */
    public Command {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Returns the document of the next version, with the command in its change log.
   *
   * @param base document that the command applies to
   * @param now time of acceptance that the change log records
   * @throws RejectedChangeException if a change can't be applied or the new document isn't valid
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

  /** Mutable copy of the objects of a document, to which changes are applied. */
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
        requireExisting(firms, "firm", c.name());
        firms.put(c.name(), new FirmSpec(c.share()));
      } else if (change instanceof ConfigChange.CreateWorkspace c) {
        create(workspaces, "workspace", c.name(), c.spec());
      } else if (change instanceof ConfigChange.SetWorkspace c) {
        setWorkspace(c);
      } else if (change instanceof ConfigChange.CreatePool c) {
        create(pools, "pool", c.name(), c.spec());
      } else if (change instanceof ConfigChange.SetPool c) {
        setPool(c);
      } else if (change instanceof ConfigChange.CreatePipeline c) {
        create(pipelines, "pipeline", c.name(), c.spec());
      } else if (change instanceof ConfigChange.SetPipeline c) {
        setPipeline(c);
      } else if (change instanceof ConfigChange.Remove c) {
        remove(c);
      } else {
        applyToUpstreams(change);
      }
    }

    private void applyToUpstreams(ConfigChange change) throws RejectedChangeException {
      if (change instanceof ConfigChange.Drain c) {
        setDraining(c.host(), true);
      } else if (change instanceof ConfigChange.Restore c) {
        setDraining(c.host(), false);
      } else if (change instanceof ConfigChange.SetModel c) {
        Wanted wanted = wanted(c.target());
        setWanted(c.target(), wanted.withModel(c.model(), c.version(), c.adapter()));
      } else if (change instanceof ConfigChange.RemoveModel c) {
        removeModel(c);
      } else if (change instanceof ConfigChange.SetRole c) {
        setWanted(c.target(), wanted(c.target()).withRole(c.role()));
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

    private static <T> T requireExisting(Map<String, T> objects, String kind, String name)
        throws RejectedChangeException {
      T object = objects.get(name);
      if (object == null) {
        throw rejected(kind + " " + name + " doesn't exist; see show " + kind + "s.");
      }
      return object;
    }

    private void setWorkspace(ConfigChange.SetWorkspace c) throws RejectedChangeException {
      WorkspaceSpec old = requireExisting(workspaces, "workspace", c.name());
      workspaces.put(
          c.name(),
          new WorkspaceSpec(
              orElse(c.firm(), old.firm()),
              orElse(c.weight(), old.weight()),
              orElse(c.priority(), old.priority())));
    }

    private void setPool(ConfigChange.SetPool c) throws RejectedChangeException {
      PoolSpec old = requireExisting(pools, "pool", c.name());
      pools.put(
          c.name(),
          new PoolSpec(
              orElse(c.kind(), old.kind()),
              orElse(c.shards(), old.shards()),
              orElse(c.notExecutedStatuses(), old.notExecutedStatuses()),
              orElse(c.checksFencing(), old.checksFencing()),
              old.role(),
              old.models()));
    }

    private void setPipeline(ConfigChange.SetPipeline c) throws RejectedChangeException {
      PipelineSpec old = requireExisting(pipelines, "pipeline", c.name());
      pipelines.put(
          c.name(),
          new PipelineSpec(
              orElse(c.deadlineMillis(), old.deadlineMillis()), orElse(c.stages(), old.stages())));
    }

    private static <T> T orElse(@Nullable T newValue, T oldValue) {
      return newValue == null ? oldValue : newValue;
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
      requireExisting(objects, kind, c.name());
      objects.remove(c.name());
    }

    private void setDraining(String host, boolean draining) {
      UpstreamSpec old = upstreams.getOrDefault(host, UpstreamSpec.DEFAULT);
      setUpstream(host, new UpstreamSpec(draining, old.role(), old.models()));
    }

    private Wanted wanted(ConfigChange.Target target) throws RejectedChangeException {
      if (target.isPool()) {
        PoolSpec pool = requireExisting(pools, "pool", target.name());
        return new Wanted(pool.role(), pool.models());
      }
      UpstreamSpec host = upstreams.getOrDefault(target.name(), UpstreamSpec.DEFAULT);
      return new Wanted(host.role(), host.models());
    }

    private void setWanted(ConfigChange.Target target, Wanted wanted)
        throws RejectedChangeException {
      if (target.isPool()) {
        PoolSpec old = requireExisting(pools, "pool", target.name());
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
        setUpstream(
            target.name(), new UpstreamSpec(old.draining(), wanted.role(), wanted.models()));
      }
    }

    /** Stores only settings that differ from the defaults; most hosts are replaced in weeks. */
    private void setUpstream(String host, UpstreamSpec spec) {
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
      setWanted(c.target(), old.withoutModel(c.model()));
    }

    private void rollBack(long version) throws RejectedChangeException {
      Optional<ConfigDocument> earlierVersion = ConfigHistory.at(base, version);
      if (earlierVersion.isEmpty()) {
        throw rejected(
            "version "
                + version
                + " can't be restored from the kept changes; import an export of it.");
      }
      replace(earlierVersion.get());
    }

    private void replace(ConfigDocument replacement) {
      replaceAll(firms, replacement.firms());
      replaceAll(workspaces, replacement.workspaces());
      replaceAll(pools, replacement.pools());
      replaceAll(pipelines, replacement.pipelines());
      replaceAll(upstreams, replacement.upstreams());
    }

    private static <T> void replaceAll(Map<String, T> objects, Map<String, T> replacements) {
      objects.clear();
      objects.putAll(replacements);
    }
  }
}
