package org.oriolewell.core.config.language;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What {@code show} can list, with the fields of its rows. */
public enum Subject {
  /** Requests in flight at the entries. */
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
  /** Connected processes with the configuration version in force. */
  VERSIONS(true, List.of("process", "role", "region", "zone"), List.of("version"), List.of()),
  /** Budgets for second attempts, for each process and pipeline. */
  BUDGETS(true, List.of("process", "pipeline"), List.of("tokens", "capacity"), List.of()),
  /** Firms of the configuration. */
  FIRMS(false, List.of("name"), List.of("share"), List.of("workspaces")),
  /** Workspaces of the configuration. */
  WORKSPACES(false, List.of("name", "firm"), List.of("weight", "priority"), List.of()),
  /** Pools of the configuration. */
  POOLS(false, List.of("name", "kind", "fencing", "role", "models"), List.of("shards"), List.of()),
  /** Pipelines of the configuration. */
  PIPELINES(false, List.of("name", "stages", "pools"), List.of("deadline_ms", "min_ms"), List.of()),
  /** Wanted models of pools and hosts. */
  MODELS(false, List.of("target", "name", "model", "version", "adapter"), List.of(), List.of()),
  /** Wanted roles of pools and hosts. */
  ROLES(false, List.of("target", "name", "role"), List.of(), List.of()),
  /** Hosts that the configuration drains. */
  DRAINS(false, List.of("host"), List.of(), List.of());

  private final boolean fleet;
  private final List<String> texts;
  private final List<String> numbers;
  private final List<String> sums;

  Subject(boolean fleet, List<String> texts, List<String> numbers, List<String> sums) {
    this.fleet = fleet;
    this.texts = texts;
    this.numbers = numbers;
    this.sums = sums;
  }

  /** Returns whether the rows come from the processes rather than from the configuration. */
  public boolean fleet() {
    return fleet;
  }

  /** Returns the fields of a row, in the order they are shown. */
  public List<String> fields() {
    List<String> all = new ArrayList<>(texts);
    all.addAll(numbers);
    all.addAll(sums);
    return List.copyOf(all);
  }

  /** Returns the fields that a group sums up. */
  public List<String> sums() {
    return sums;
  }

  /** Returns the word that names it in a statement. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
