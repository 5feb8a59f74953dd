package org.oriolewell.core.config.language;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigChange;
import org.oriolewell.core.config.ConfigChange.Kind;
import org.oriolewell.core.config.ConfigChange.Target;
import org.oriolewell.core.config.FirmSpec;
import org.oriolewell.core.config.PipelineSpec;
import org.oriolewell.core.config.PoolSpec;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.core.config.WorkspaceSpec;

/** Parses the statements that change the configuration, such as {@code create} and {@code set}. */
final class ChangeParser {
  /** Words that a statement of a change can start with. */
  static final List<String> FIRST_WORDS =
      List.of("create", "set", "remove", "drain", "restore", "roll");

  private static final int DEFAULT_PRIORITY = 5;
  private static final int MAX_ANSWER_TOKENS = 1_000_000;

  private final Cursor cursor;

  private ChangeParser(Cursor cursor) {
    this.cursor = cursor;
  }

  static ConfigChange parse(Cursor cursor) throws LanguageException {
    return new ChangeParser(cursor).parseChange();
  }

  private ConfigChange parseChange() throws LanguageException {
    return switch (cursor.expectOneOf(FIRST_WORDS)) {
      case "create" -> create();
      case "set" -> set();
      case "remove" -> remove();
      case "drain" -> new ConfigChange.Drain(host());
      case "restore" -> new ConfigChange.Restore(host());
      default -> {
        cursor.expect("back");
        cursor.expect("to");
        cursor.acceptIf("version");
        yield new ConfigChange.RollBack(cursor.integer("a version", 0, Long.MAX_VALUE));
      }
    };
  }

  private String host() throws LanguageException {
    cursor.expect("host");
    return cursor.name("a host name");
  }

  private ConfigChange create() throws LanguageException {
    return switch (cursor.expectOneOf(List.of("firm", "workspace", "pool", "pipeline"))) {
      case "firm" -> {
        String name = cursor.name("a firm name");
        cursor.expect("share");
        yield new ConfigChange.CreateFirm(name, new FirmSpec(cursor.number("a share")));
      }
      case "workspace" -> createWorkspace();
      case "pool" -> createPool();
      default -> {
        String name = cursor.name("a pipeline name");
        cursor.expect("deadline");
        long deadlineMillis = cursor.duration("a deadline");
        cursor.expect("stages");
        yield new ConfigChange.CreatePipeline(name, new PipelineSpec(deadlineMillis, stages()));
      }
    };
  }

  private ConfigChange createWorkspace() throws LanguageException {
    String name = cursor.name("a workspace name");
    cursor.expect("firm");
    String firm = cursor.name("a firm name");
    double weight = cursor.acceptIf("weight") ? cursor.number("a weight") : 1;
    int priority = cursor.acceptIf("priority") ? priority() : DEFAULT_PRIORITY;
    return new ConfigChange.CreateWorkspace(name, new WorkspaceSpec(firm, weight, priority));
  }

  private int priority() throws LanguageException {
    return (int) cursor.integer("a priority", 0, 9);
  }

  private ConfigChange createPool() throws LanguageException {
    String name = cursor.name("a pool name");
    cursor.expect("kind");
    PoolSpec.Kind kind = kind();
    PoolOptions options = poolOptions();
    return new ConfigChange.CreatePool(
        name,
        new PoolSpec(
            kind,
            options.shards() == null ? 0 : options.shards(),
            options.notExecutedStatuses() == null ? List.of() : options.notExecutedStatuses(),
            options.checksFencing() != null && options.checksFencing()));
  }

  private PoolSpec.Kind kind() throws LanguageException {
    String word = cursor.expectOneOf(List.of("engine", "stage", "service"));
    return PoolSpec.Kind.valueOf(word.toUpperCase(Locale.ROOT));
  }

  /** Optional settings of a pool in a statement; null for each one that is not given. */
  private record PoolOptions(
      @Nullable Integer shards,
      @Nullable List<Integer> notExecutedStatuses,
      @Nullable Boolean checksFencing) {}

  private PoolOptions poolOptions() throws LanguageException {
    @Nullable Integer shards =
        cursor.acceptIf("shards") ? (int) cursor.integer("shards", 0, 64) : null;
    @Nullable List<Integer> notExecutedStatuses = null;
    if (cursor.acceptIf("not-executed")) {
      notExecutedStatuses = new ArrayList<>();
      if (!cursor.acceptIf("none")) {
        do {
          notExecutedStatuses.add((int) cursor.integer("an HTTP status", 400, 599));
        } while (cursor.acceptIf(","));
      }
    }
    @Nullable Boolean checksFencing =
        cursor.acceptIf("fencing") ? cursor.expectOneOf(List.of("on", "off")).equals("on") : null;
    return new PoolOptions(shards, notExecutedStatuses, checksFencing);
  }

  private ConfigChange set() throws LanguageException {
    return switch (cursor.expectOneOf(
        List.of("firm", "workspace", "pool", "pipeline", "model", "role"))) {
      case "firm" -> {
        String name = cursor.name("a firm name");
        cursor.expect("share");
        yield new ConfigChange.SetFirm(name, cursor.number("a share"));
      }
      case "workspace" -> setWorkspace();
      case "pool" -> setPool();
      case "pipeline" -> setPipeline();
      case "model" -> setModel();
      default -> {
        String role = cursor.name("a role");
        yield new ConfigChange.SetRole(target(), role);
      }
    };
  }

  private ConfigChange setWorkspace() throws LanguageException {
    String name = cursor.name("a workspace name");
    @Nullable String firm = cursor.acceptIf("firm") ? cursor.name("a firm name") : null;
    @Nullable Double weight = cursor.acceptIf("weight") ? cursor.number("a weight") : null;
    @Nullable Integer priority = cursor.acceptIf("priority") ? priority() : null;
    if (firm == null && weight == null && priority == null) {
      throw cursor.error("firm, weight or priority");
    }
    return new ConfigChange.SetWorkspace(name, firm, weight, priority);
  }

  private ConfigChange setPool() throws LanguageException {
    String name = cursor.name("a pool name");
    PoolSpec.@Nullable Kind kind = cursor.acceptIf("kind") ? kind() : null;
    PoolOptions options = poolOptions();
    if (kind == null && options.equals(new PoolOptions(null, null, null))) {
      throw cursor.error("kind, shards, not-executed or fencing");
    }
    return new ConfigChange.SetPool(
        name, kind, options.shards(), options.notExecutedStatuses(), options.checksFencing());
  }

  private ConfigChange setPipeline() throws LanguageException {
    String name = cursor.name("a pipeline name");
    @Nullable Long deadlineMillis =
        cursor.acceptIf("deadline") ? cursor.duration("a deadline") : null;
    @Nullable List<StageSpec> stages = cursor.acceptIf("stages") ? stages() : null;
    if (deadlineMillis == null && stages == null) {
      throw cursor.error("deadline or stages");
    }
    return new ConfigChange.SetPipeline(name, deadlineMillis, stages);
  }

  private ConfigChange setModel() throws LanguageException {
    String model = cursor.name("a model name");
    cursor.expect("version");
    String version = cursor.name("a model version");
    @Nullable String adapter = cursor.acceptIf("adapter") ? cursor.name("an adapter name") : null;
    return new ConfigChange.SetModel(target(), model, version, adapter);
  }

  private Target target() throws LanguageException {
    cursor.expect("on");
    boolean isPool = cursor.expectOneOf(List.of("pool", "host")).equals("pool");
    return new Target(isPool, cursor.name(isPool ? "a pool name" : "a host name"));
  }

  private ConfigChange remove() throws LanguageException {
    String kind =
        cursor.expectOneOf(List.of("firm", "workspace", "pool", "pipeline", "host", "model"));
    String name = cursor.name("a name");
    return switch (kind) {
      case "model" -> new ConfigChange.RemoveModel(target(), name);
      case "host" -> new ConfigChange.Remove(Kind.UPSTREAM, name);
      default -> new ConfigChange.Remove(Kind.valueOf(kind.toUpperCase(Locale.ROOT)), name);
    };
  }

  private List<StageSpec> stages() throws LanguageException {
    List<StageSpec> stages = new ArrayList<>();
    do {
      stages.add(stage());
    } while (cursor.acceptIf(","));
    return stages;
  }

  private StageSpec stage() throws LanguageException {
    String name = cursor.name("a stage, such as encode@encoders");
    cursor.expect("@");
    String pool = cursor.name("a pool name");
    String operation = cursor.acceptIf("operation") ? cursor.name("an operation") : name;
    boolean idempotent = !cursor.acceptIf("non-idempotent");
    long minMillis = cursor.acceptIf("min") ? cursor.duration("the shortest time") : 0;
    @Nullable String model = cursor.acceptIf("model") ? cursor.name("a model name") : null;
    int maxTokens =
        cursor.acceptIf("tokens")
            ? (int) cursor.integer("the most tokens", 1, MAX_ANSWER_TOKENS)
            : 0;
    return new StageSpec(name, pool, operation, idempotent, minMillis, model, maxTokens);
  }
}
