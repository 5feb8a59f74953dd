package org.oriolewell.core.config.language;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Kinds of rows that a {@code show} statement can list, with their fields. */
public enum Subject {
  /** Requests in flight at the entries of the fleet. */
  REQUESTS(
      true,
      List.of("id", "workspace", "firm", "pipeline", "stage", "upstream", "entry"),
      List.of("priority", "age", "remaining_ms"),
      List.of()),
  /** Upstreams as their agents report them. */
  UPSTREAMS(
      true,
      List.of("host", "pool", "zone", "region", "draining", "role"),
      List.of("queue_delay_ms"),
      List.of("in_flight", "queued", "limit")),
  /** Connected processes, each with the configuration version in force there. */
  VERSIONS(true, List.of("process", "role", "region", "zone"), List.of("version"), List.of()),
  /** Retry budgets of each process and pipeline. */
  BUDGETS(true, List.of("process", "pipeline"), List.of("tokens", "capacity"), List.of()),
  /** Firms in the configuration document. */
  FIRMS(false, List.of("name"), List.of("share"), List.of("workspaces")),
  /** Workspaces in the configuration document. */
  WORKSPACES(false, List.of("name", "firm"), List.of("weight", "priority"), List.of()),
  /** Pools of upstreams in the configuration document. */
  POOLS(false, List.of("name", "kind", "fencing", "role", "models"), List.of("shards"), List.of()),
  /** Pipelines in the configuration document. */
  PIPELINES(false, List.of("name", "stages", "pools"), List.of("deadline_ms", "min_ms"), List.of()),
  /** Models that the configuration sets for pools and hosts. */
  MODELS(false, List.of("target", "name", "model", "version", "adapter"), List.of(), List.of()),
  /** Engine roles that the configuration sets for pools and hosts. */
  ROLES(false, List.of("target", "name", "role"), List.of(), List.of()),
  /** Hosts that the configuration drains. */
  DRAINS(false, List.of("host"), List.of(), List.of());

  private final boolean fromProcesses;
  private final List<String> textFields;
  private final List<String> numberFields;
  private final List<String> summedFields;

  Subject(
      boolean fromProcesses,
      List<String> textFields,
      List<String> numberFields,
      List<String> summedFields) {
    this.fromProcesses = fromProcesses;
    this.textFields = textFields;
    this.numberFields = numberFields;
    this.summedFields = summedFields;
  }

  /** Returns whether the rows come from the processes rather than from the configuration. */
  public boolean fromProcesses() {
    return fromProcesses;
  }

  /** Returns the names of the fields of a row, in the order in which they are shown. */
  public List<String> fields() {
    List<String> fields = new ArrayList<>(textFields);
    fields.addAll(numberFields);
    fields.addAll(summedFields);
    return List.copyOf(fields);
  }

  /** Returns the names of the fields that are summed over the rows of a group. */
  public List<String> summedFields() {
    return summedFields;
  }

  /** Returns the word that names this subject in a statement. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
