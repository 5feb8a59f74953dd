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

/** Parses the statements that change the configuration. */
final class ChangeParser {
  static final List<String> OPENERS =
      List.of("create", "set", "remove", "drain", "restore", "roll");

  private static final int DEFAULT_PRIORITY = 5;
  private static final int MAX_TOKENS = 1_000_000;

  private final Cursor cursor;

  private ChangeParser(Cursor cursor) {
    this.cursor = cursor;
  }

  static ConfigChange change(Cursor cursor) throws LanguageException {
    return new ChangeParser(cursor).change();
  }

  private ConfigChange change() throws LanguageException {
    return switch (cursor.choice(OPENERS)) {
      case "create" -> create();
      case "set" -> set();
      case "remove" -> remove();
      case "drain" -> new ConfigChange.Drain(host());
      case "restore" -> new ConfigChange.Restore(host());
      default -> {
        cursor.expect("back");
        cursor.expect("to");
        cursor.skip("version");
        yield new ConfigChange.RollBack(cursor.integer("a version", 0, Long.MAX_VALUE));
      }
    };
  }

  private String host() throws LanguageException {
    cursor.expect("host");
    return cursor.name("a host name");
  }

  private ConfigChange create() throws LanguageException {
    return switch (cursor.choice(List.of("firm", "workspace", "pool", "pipeline"))) {
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
        long deadline = cursor.duration("a deadline");
        cursor.expect("stages");
        yield new ConfigChange.CreatePipeline(name, new PipelineSpec(deadline, stages()));
      }
    };
  }

  private ConfigChange createWorkspace() throws LanguageException {
    String name = cursor.name("a workspace name");
    cursor.expect("firm");
    String firm = cursor.name("a firm name");
    double weight = cursor.skip("weight") ? cursor.number("a weight") : 1;
    int priority = cursor.skip("priority") ? priority() : DEFAULT_PRIORITY;
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
            options.statuses() == null ? List.of() : options.statuses(),
            options.fencing() != null && options.fencing()));
  }

  private PoolSpec.Kind kind() throws LanguageException {
    String word = cursor.choice(List.of("engine", "stage", "service"));
    return PoolSpec.Kind.valueOf(word.toUpperCase(Locale.ROOT));
  }

  private record PoolOptions(
      @Nullable Integer shards, @Nullable List<Integer> statuses, @Nullable Boolean fencing) {}

  private PoolOptions poolOptions() throws LanguageException {
    @Nullable Integer shards = cursor.skip("shards") ? (int) cursor.integer("shards", 0, 64) : null;
    @Nullable List<Integer> statuses = null;
    if (cursor.skip("not-executed")) {
      statuses = new ArrayList<>();
      if (!cursor.skip("none")) {
        do {
          statuses.add((int) cursor.integer("an HTTP status", 400, 599));
        } while (cursor.skip(","));
      }
    }
    @Nullable Boolean fencing =
        cursor.skip("fencing") ? cursor.choice(List.of("on", "off")).equals("on") : null;
    return new PoolOptions(shards, statuses, fencing);
  }

  private ConfigChange set() throws LanguageException {
    return switch (cursor.choice(
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
    @Nullable String firm = cursor.skip("firm") ? cursor.name("a firm name") : null;
    @Nullable Double weight = cursor.skip("weight") ? cursor.number("a weight") : null;
    @Nullable Integer priority = cursor.skip("priority") ? priority() : null;
    if (firm == null && weight == null && priority == null) {
      throw cursor.error("firm, weight or priority");
    }
    return new ConfigChange.SetWorkspace(name, firm, weight, priority);
  }

  private ConfigChange setPool() throws LanguageException {
    String name = cursor.name("a pool name");
    PoolSpec.@Nullable Kind kind = cursor.skip("kind") ? kind() : null;
    PoolOptions options = poolOptions();
    if (kind == null && options.equals(new PoolOptions(null, null, null))) {
      throw cursor.error("kind, shards, not-executed or fencing");
    }
    return new ConfigChange.SetPool(
        name, kind, options.shards(), options.statuses(), options.fencing());
  }

  private ConfigChange setPipeline() throws LanguageException {
    String name = cursor.name("a pipeline name");
    @Nullable Long deadline = cursor.skip("deadline") ? cursor.duration("a deadline") : null;
    @Nullable List<StageSpec> stages = cursor.skip("stages") ? stages() : null;
    if (deadline == null && stages == null) {
      throw cursor.error("deadline or stages");
    }
    return new ConfigChange.SetPipeline(name, deadline, stages);
  }

  private ConfigChange setModel() throws LanguageException {
    String model = cursor.name("a model name");
    cursor.expect("version");
    String version = cursor.name("a model version");
    @Nullable String adapter = cursor.skip("adapter") ? cursor.name("an adapter name") : null;
    return new ConfigChange.SetModel(target(), model, version, adapter);
  }

  private Target target() throws LanguageException {
    cursor.expect("on");
    boolean pool = cursor.choice(List.of("pool", "host")).equals("pool");
    return new Target(pool, cursor.name(pool ? "a pool name" : "a host name"));
  }

  private ConfigChange remove() throws LanguageException {
    String kind = cursor.choice(List.of("firm", "workspace", "pool", "pipeline", "host", "model"));
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
    } while (cursor.skip(","));
    return stages;
  }

  private StageSpec stage() throws LanguageException {
    String name = cursor.name("a stage, such as encode@encoders");
    cursor.expect("@");
    String pool = cursor.name("a pool name");
    String operation = cursor.skip("operation") ? cursor.name("an operation") : name;
    boolean idempotent = !cursor.skip("non-idempotent");
    long minMillis = cursor.skip("min") ? cursor.duration("the shortest time") : 0;
    @Nullable String model = cursor.skip("model") ? cursor.name("a model name") : null;
    int maxTokens =
        cursor.skip("tokens") ? (int) cursor.integer("the most tokens", 1, MAX_TOKENS) : 0;
    return new StageSpec(name, pool, operation, idempotent, minMillis, model, maxTokens);
  }
}
