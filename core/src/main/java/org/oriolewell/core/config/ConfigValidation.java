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

/** Validates a whole document, also against the document of the version before it. */
public final class ConfigValidation {
  private static final int MAX_STAGES = 6;
  private static final int MAX_SHARDS = 64;
  private static final long MAX_DEADLINE_MILLIS = 600_000;
  private static final int MAX_PRIORITY = 9;

  /** Form of an object name, which is a part of store keys and URL paths. */
  private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

  /** Tolerance above 1, since a sum of decimal shares may have a rounding error. */
  private static final double SHARE_SUM_TOLERANCE = 1e-9;

  private final ConfigDocument previousDocument;
  private final ConfigDocument newDocument;
  private final List<String> problems = new ArrayList<>();

  private ConfigValidation(ConfigDocument previousDocument, ConfigDocument newDocument) {
    this.previousDocument = previousDocument;
    this.newDocument = newDocument;
  }

  /**
   * Returns all problems of a document as complete sentences; empty if it's valid.
   *
   * @param previousDocument document of the version before
   * @param newDocument document to validate
   */
  public static List<String> problems(ConfigDocument previousDocument, ConfigDocument newDocument) {
    ConfigValidation validation = new ConfigValidation(previousDocument, newDocument);
    validation.validate();
    return List.copyOf(validation.problems);
  }

  private void validate() {
    newDocument.firms().forEach(this::checkFirm);
    double shareSum = newDocument.firms().values().stream().mapToDouble(FirmSpec::share).sum();
    require(
        shareSum <= 1 + SHARE_SUM_TOLERANCE,
        "The shares of all firms sum to %s; lower them to at most 1.",
        shareSum);
    newDocument.workspaces().forEach(this::checkWorkspace);
    newDocument.pools().forEach(this::checkPool);
    previousDocument.pools().forEach(this::checkShardsUnchanged);
    newDocument.pipelines().forEach(this::checkPipeline);
    newDocument.upstreams().forEach(this::checkUpstream);
    if (problems.isEmpty()) {
      checkSize();
    }
  }

  private void require(boolean valid, String problemFormat, @Nullable Object... arguments) {
    if (!valid) {
      problems.add(String.format(Locale.ROOT, problemFormat, arguments));
    }
  }

  private void checkName(String kind, String name) {
    require(
        NAME_PATTERN.matcher(name).matches(),
        "%s name '%s' is not valid; use up to 128 letters, digits, '.', '_' and '-'.",
        kind,
        name);
  }

  private void checkFirm(String name, FirmSpec firm) {
    checkName("firm", name);
    require(
        firm.share() > 0 && firm.share() <= 1,
        "firm %s has the share %s; choose one over 0 and up to 1.",
        name,
        firm.share());
  }

  private void checkWorkspace(String name, WorkspaceSpec workspace) {
    checkName("workspace", name);
    require(
        exists(newDocument.firms(), workspace.firm()),
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

  private static boolean exists(Map<String, ?> objects, @Nullable String name) {
    return name != null && objects.containsKey(name);
  }

  private void checkPool(String name, PoolSpec pool) {
    checkName("pool", name);
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
    checkModels("pool " + name, pool.models());
  }

  /**
   * Requires an unchanged number of shards: the shard of an idempotency key depends on it, so with
   * another number a call could run twice.
   */
  private void checkShardsUnchanged(String name, PoolSpec oldPool) {
    if (oldPool.shards() == 0) {
      return;
    }
    PoolSpec pool = newDocument.pools().get(name);
    require(
        pool != null,
        "pool %s has shards of non-idempotent calls and can't be removed; keep it unused.",
        name);
    require(
        pool == null || pool.shards() == oldPool.shards(),
        "pool %s has %s shards, which are fixed; create another pool for another number.",
        name,
        oldPool.shards());
  }

  private void checkPipeline(String name, PipelineSpec pipeline) {
    checkName("pipeline", name);
    int stageCount = pipeline.stages().size();
    require(
        stageCount >= 1 && stageCount <= MAX_STAGES,
        "pipeline %s has %s stages; give it 1 to 6.",
        name,
        stageCount);
    Set<String> stageNames = new HashSet<>();
    for (StageSpec stage : pipeline.stages()) {
      require(
          stageNames.add(stage.name()),
          "pipeline %s has two stages named %s; rename one.",
          name,
          stage.name());
      checkStage("pipeline " + name + ", stage " + stage.name(), stage);
    }
    long deadlineMillis = pipeline.deadlineMillis();
    require(
        deadlineMillis > 0 && deadlineMillis <= MAX_DEADLINE_MILLIS,
        "pipeline %s has a deadline of %s ms; choose 1 to 600000 ms.",
        name,
        deadlineMillis);
    long minMillisSum = pipeline.stages().stream().mapToLong(StageSpec::minMillis).sum();
    require(
        deadlineMillis >= minMillisSum,
        "pipeline %s has a deadline of %s ms but its stages need %s ms; raise the deadline.",
        name,
        deadlineMillis,
        minMillisSum);
  }

  private void checkStage(String location, StageSpec stage) {
    require(
        NAME_PATTERN.matcher(Objects.requireNonNullElse(stage.name(), "")).matches(),
        "%s: the name is not valid; use letters, digits, '.', '_' and '-'.",
        location);
    require(
        stage.minMillis() >= 0 && stage.minMillis() <= MAX_DEADLINE_MILLIS,
        "%s: the shortest time is %s ms; choose 0 to 600000 ms.",
        location,
        stage.minMillis());
    require(!isBlank(stage.operation()), "%s: the operation is missing; name one.", location);
    if (!exists(newDocument.pools(), stage.pool())) {
      require(false, "%s: the pool %s is unknown; create it first.", location, stage.pool());
      return;
    }
    PoolSpec pool = Objects.requireNonNull(newDocument.pools().get(stage.pool()));
    require(
        stage.idempotent() || pool.shards() > 0,
        "%s: it is non-idempotent, but pool %s has no shards; set the pool's shards.",
        location,
        stage.pool());
    boolean isEnginePool = pool.kind() == PoolSpec.Kind.ENGINE;
    require(
        !isEnginePool || (!isBlank(stage.model()) && stage.maxTokens() > 0),
        "%s: pool %s is an engine pool; name a model and the most tokens.",
        location,
        stage.pool());
    require(
        isEnginePool || (stage.model() == null && stage.maxTokens() == 0),
        "%s: pool %s isn't an engine pool; remove the model and the most tokens.",
        location,
        stage.pool());
  }

  private void checkUpstream(String host, UpstreamSpec upstream) {
    checkName("host", host);
    checkModels("host " + host, upstream.models());
  }

  private void checkModels(String location, List<ModelSpec> models) {
    for (ModelSpec model : models) {
      require(
          !isBlank(model.model()) && !isBlank(model.version()),
          "%s: a model has no name or version; name both.",
          location);
    }
  }

  private static boolean isBlank(@Nullable String text) {
    return text == null || text.isBlank();
  }

  private void checkSize() {
    int documentBytes = ConfigJson.write(newDocument).length;
    require(
        documentBytes <= ConfigJson.MAX_DOCUMENT_BYTES,
        "The document would have %s bytes, over the limit of %s; remove objects.",
        documentBytes,
        ConfigJson.MAX_DOCUMENT_BYTES);
  }
}
