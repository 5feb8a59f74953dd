package org.oriolewell.core.config.language;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.core.config.UpstreamSpec.ModelSpec;

/** Rows of those subjects of a query that the configuration document can answer. */
public final class ConfigRows {
  private ConfigRows() {}

  /**
   * Returns the rows of a subject, ordered by name.
   *
   * @throws IllegalArgumentException if the rows of the subject come from the processes
   */
  public static List<Map<String, Object>> of(ConfigDocument document, Subject subject) {
    return switch (subject) {
      case FIRMS -> firms(document);
      case WORKSPACES ->
          rows(
              document.workspaces(),
              (name, w) ->
                  row(
                      "name",
                      name,
                      "firm",
                      w.firm(),
                      "weight",
                      w.weight(),
                      "priority",
                      w.priority()));
      case POOLS -> pools(document);
      case PIPELINES -> pipelines(document);
      case MODELS -> models(document);
      case ROLES -> roles(document);
      case DRAINS ->
          rows(
              document.upstreams(),
              (host, upstream) -> upstream.draining() ? row("host", host) : null);
      default ->
          throw new IllegalArgumentException(
              "the configuration document has no rows of the subject " + subject);
    };
  }

  /** Converts a named object to a row; null if the object has no row. */
  private interface RowMapper<T> {
    @Nullable Map<String, Object> row(String name, T object);
  }

  private static <T> List<Map<String, Object>> rows(
      Map<String, T> objects, RowMapper<T> rowMapper) {
    List<Map<String, Object>> rows = new ArrayList<>();
    new TreeMap<>(objects)
        .forEach(
            (name, object) -> {
              Map<String, Object> row = rowMapper.row(name, object);
              if (row != null) {
                rows.add(row);
              }
            });
    return rows;
  }

  /** Returns a row of alternating field names and values, without the fields that are null. */
  private static Map<String, Object> row(@Nullable Object... namesAndValues) {
    Map<String, Object> row = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      Object value = namesAndValues[i + 1];
      if (value != null) {
        row.put(String.valueOf(namesAndValues[i]), value);
      }
    }
    return row;
  }

  private static List<Map<String, Object>> firms(ConfigDocument document) {
    return rows(
        document.firms(),
        (name, firm) -> {
          long workspaces =
              document.workspaces().values().stream().filter(w -> w.firm().equals(name)).count();
          return row("name", name, "share", firm.share(), "workspaces", workspaces);
        });
  }

  private static List<Map<String, Object>> pools(ConfigDocument document) {
    return rows(
        document.pools(),
        (name, pool) ->
            row(
                "name",
                name,
                "kind",
                pool.kind().name().toLowerCase(Locale.ROOT),
                "fencing",
                pool.checksFencing(),
                "role",
                pool.role(),
                "models",
                String.join(" ", pool.models().stream().map(ConfigRows::modelText).toList()),
                "shards",
                pool.shards()));
  }

  private static String modelText(ModelSpec model) {
    String adapter = model.adapter();
    return model.model() + ":" + model.version() + (adapter == null ? "" : "+" + adapter);
  }

  private static List<Map<String, Object>> pipelines(ConfigDocument document) {
    return rows(
        document.pipelines(),
        (name, pipeline) ->
            row(
                "name",
                name,
                "stages",
                String.join(" ", pipeline.stages().stream().map(StageSpec::name).toList()),
                "pools",
                String.join(" ", pipeline.stages().stream().map(StageSpec::pool).toList()),
                "deadline_ms",
                pipeline.deadlineMillis(),
                "min_ms",
                pipeline.stages().stream().mapToLong(StageSpec::minMillis).sum()));
  }

  private static List<Map<String, Object>> models(ConfigDocument document) {
    List<Map<String, Object>> rows = new ArrayList<>();
    new TreeMap<>(document.pools())
        .forEach(
            (name, pool) ->
                pool.models().forEach(model -> rows.add(modelRow("pool", name, model))));
    new TreeMap<>(document.upstreams())
        .forEach(
            (name, host) ->
                host.models().forEach(model -> rows.add(modelRow("host", name, model))));
    return rows;
  }

  private static Map<String, Object> modelRow(String targetKind, String name, ModelSpec model) {
    return row(
        "target",
        targetKind,
        "name",
        name,
        "model",
        model.model(),
        "version",
        model.version(),
        "adapter",
        model.adapter());
  }

  private static List<Map<String, Object>> roles(ConfigDocument document) {
    List<Map<String, Object>> rows =
        rows(document.pools(), (name, pool) -> roleRow("pool", name, pool.role()));
    rows.addAll(rows(document.upstreams(), (name, host) -> roleRow("host", name, host.role())));
    return rows;
  }

  private static @Nullable Map<String, Object> roleRow(
      String targetKind, String name, @Nullable String role) {
    return role == null ? null : row("target", targetKind, "name", name, "role", role);
  }
}
