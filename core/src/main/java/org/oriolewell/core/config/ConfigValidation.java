package org.oriolewell.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.UpstreamSpec.ModelSpec;

/** Checks a document as a whole, against the one it follows. */
public final class ConfigValidation {
  private static final int MAX_STAGES = 6;
  private static final int MAX_SHARDS = 64;
  private static final long MAX_DEADLINE_MILLIS = 600_000;
  private static final int MAX_PRIORITY = 9;

  /** Names are parts of store keys and URL paths. */
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

  /** Sums of decimal shares may exceed 1 by a rounding error. */
  private static final double ROUNDING = 1e-9;

  private final ConfigDocument before;
  private final ConfigDocument after;
  private final List<String> problems = new ArrayList<>();

  private ConfigValidation(ConfigDocument before, ConfigDocument after) {
    this.before = before;
    this.after = after;
  }

  /** Returns all problems as finished sentences; empty if the document may follow the other. */
  public static List<String> problems(ConfigDocument before, ConfigDocument after) {
    ConfigValidation validation = new ConfigValidation(before, after);
    validation.check();
    return List.copyOf(validation.problems);
  }

  private void check() {
    after.firms().forEach(this::firm);
    double shares = after.firms().values().stream().mapToDouble(FirmSpec::share).sum();
    require(
        shares <= 1 + ROUNDING,
        "The shares of all firms sum to %s; lower them to at most 1.",
        shares);
    after.workspaces().forEach(this::workspace);
    after.pools().forEach(this::pool);
    before.pools().forEach(this::fixedShards);
    after.pipelines().forEach(this::pipeline);
    after.upstreams().forEach(this::upstream);
    if (problems.isEmpty()) {
      size();
    }
  }

  private void require(boolean valid, String problem, @Nullable Object... arguments) {
    if (!valid) {
      problems.add(String.format(Locale.ROOT, problem, arguments));
    }
  }

  private void name(String kind, String name) {
    require(
        NAME.matcher(name).matches(),
        "%s name '%s' is not valid; use up to 128 letters, digits, '.', '_' and '-'.",
        kind,
        name);
  }

  private void firm(String name, FirmSpec firm) {
    name("firm", name);
    require(
        firm.share() > 0 && firm.share() <= 1,
        "firm %s has the share %s; choose one over 0 and up to 1.",
        name,
        firm.share());
  }

  private void workspace(String name, WorkspaceSpec workspace) {
    name("workspace", name);
    require(
        known(after.firms(), workspace.firm()),
        "workspace %s names the unknown firm %s; create the firm first.",
        name,
        workspace.firm());
    require(
        workspace.weight() > 0 && Double.isFinite(workspace.weight()),
        "workspace %s has the weight %s; choose one over 0.",
        name,
        workspace.weight());
    require(
        workspace.priority() >= 0 && workspace.priority() <= MAX_PRIORITY,
        "workspace %s has the priority %s; choose 0 to 9.",
        name,
        workspace.priority());
  }

  private static boolean known(Map<String, ?> objects, @Nullable String name) {
    return name != null && objects.containsKey(name);
  }

  private void pool(String name, PoolSpec pool) {
    name("pool", name);
    @Nullable Object kind = pool.kind();
    require(kind != null, "pool %s has no kind; choose engine, stage or service.", name);
    require(
        pool.shards() >= 0 && pool.shards() <= MAX_SHARDS,
        "pool %s has %s shards; choose 0 to 64.",
        name,
        pool.shards());
    require(
        pool.shards() == 0 || pool.kind() == PoolSpec.Kind.SERVICE,
        "pool %s has shards but isn't a service pool; set shards 0.",
        name);
    pool.notExecutedStatuses()
        .forEach(
            status ->
                require(
                    status >= 400 && status <= 599,
                    "pool %s lists the status %s as not executed; list statuses 400 to 599.",
                    name,
                    status));
    require(
        pool.kind() == PoolSpec.Kind.ENGINE || (pool.role() == null && pool.models().isEmpty()),
        "pool %s sets a role or model but isn't an engine pool; remove them.",
        name);
    models("pool " + name, pool.models());
  }

  /** A key's shard depends on the number of shards, so another number could run a key twice. */
  private void fixedShards(String name, PoolSpec old) {
    if (old.shards() == 0) {
      return;
    }
    PoolSpec pool = after.pools().get(name);
    require(
        pool != null,
        "pool %s has shards of non-idempotent calls and can't be removed; keep it unused.",
        name);
    require(
        pool == null || pool.shards() == old.shards(),
        "pool %s has %s shards, which are fixed; create another pool for another number.",
        name,
        old.shards());
  }

  private void pipeline(String name, PipelineSpec pipeline) {
    name("pipeline", name);
    int count = pipeline.stages().size();
    require(
        count >= 1 && count <= MAX_STAGES,
        "pipeline %s has %s stages; give it 1 to 6.",
        name,
        count);
    Set<String> names = new HashSet<>();
    for (StageSpec stage : pipeline.stages()) {
      require(
          names.add(stage.name()),
          "pipeline %s has two stages named %s; rename one.",
          name,
          stage.name());
      stage("pipeline " + name + ", stage " + stage.name(), stage);
    }
    long deadline = pipeline.deadlineMillis();
    require(
        deadline > 0 && deadline <= MAX_DEADLINE_MILLIS,
        "pipeline %s has a deadline of %s ms; choose 1 to 600000 ms.",
        name,
        deadline);
    long minimum = pipeline.stages().stream().mapToLong(StageSpec::minMillis).sum();
    require(
        deadline >= minimum,
        "pipeline %s has a deadline of %s ms but its stages need %s ms; raise the deadline.",
        name,
        deadline,
        minimum);
  }

  private void stage(String where, StageSpec stage) {
    require(
        NAME.matcher(Objects.requireNonNullElse(stage.name(), "")).matches(),
        "%s: the name is not valid; use letters, digits, '.', '_' and '-'.",
        where);
    require(
        stage.minMillis() >= 0 && stage.minMillis() <= MAX_DEADLINE_MILLIS,
        "%s: the shortest time is %s ms; choose 0 to 600000 ms.",
        where,
        stage.minMillis());
    require(!blank(stage.operation()), "%s: the operation is missing; name one.", where);
    if (!known(after.pools(), stage.pool())) {
      require(false, "%s: the pool %s is unknown; create it first.", where, stage.pool());
      return;
    }
    PoolSpec pool = Objects.requireNonNull(after.pools().get(stage.pool()));
    require(
        stage.idempotent() || pool.shards() > 0,
        "%s: it is non-idempotent, but pool %s has no shards; set the pool's shards.",
        where,
        stage.pool());
    boolean generates = pool.kind() == PoolSpec.Kind.ENGINE;
    require(
        !generates || (!blank(stage.model()) && stage.maxTokens() > 0),
        "%s: pool %s is an engine pool; name a model and the most tokens.",
        where,
        stage.pool());
    require(
        generates || (stage.model() == null && stage.maxTokens() == 0),
        "%s: pool %s isn't an engine pool; remove the model and the most tokens.",
        where,
        stage.pool());
  }

  private void upstream(String host, UpstreamSpec upstream) {
    name("host", host);
    models("host " + host, upstream.models());
  }

  private void models(String where, List<ModelSpec> models) {
    for (ModelSpec model : models) {
      require(
          !blank(model.model()) && !blank(model.version()),
          "%s: a model has no name or version; name both.",
          where);
    }
  }

  private static boolean blank(@Nullable String text) {
    return text == null || text.isBlank();
  }

  private void size() {
    int bytes = ConfigJson.write(after).length;
    require(
        bytes <= ConfigJson.MAX_BYTES,
        "The document would have %s bytes, over the limit of %s; remove objects.",
        bytes,
        ConfigJson.MAX_BYTES);
  }
}
