package org.oriolewell.bench.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.oriolewell.bench.model.PolicySpec.AdmissionKind;
import org.oriolewell.bench.model.PolicySpec.Routing;

/**
 * Runs all scenarios with all policies and prints Markdown tables with the mean over the seeds and
 * the lowest and highest value. Arguments: number of seeds (default 5, the seeds are 1 to n), then
 * optionally the names of the tables wanted.
 */
public final class Experiments {
  private static final ModelSettings SETTINGS = ModelSettings.defaults();
  private static final String STRAGGLER = "z1-0";

  private Experiments() {}

  /** Runs the experiments. */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 5;
    List<String> wanted = Arrays.asList(args).subList(Math.min(1, args.length), args.length);
    for (Table table : tables()) {
      if (wanted.isEmpty() || wanted.contains(table.name)) {
        print(table, seeds);
      }
    }
  }

  private static List<Table> tables() {
    double end = SETTINGS.seconds();
    double warm = SETTINGS.warmUpSeconds();
    List<Table> tables = new ArrayList<>();
    List<Column> loads = new ArrayList<>();
    for (double load : new double[] {0.2, 0.5, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0}) {
      loads.add(
          new Column(
              "load " + load, Scenario.steady(load), r -> 100 * r.attainment(-1, warm, end)));
    }
    tables.add(new Table("load", "attainment in %", loads));
    Scenario slow = Scenario.steady(0.9).slow((u, t) -> STRAGGLER.equals(u) ? 5 : 1);
    Scenario failing = Scenario.steady(0.8).failing((u, t) -> STRAGGLER.equals(u));
    Scenario stall = Scenario.steady(0.6).slow((u, t) -> STRAGGLER.equals(u) && t >= 10 ? 100 : 1);
    Scenario zone = Scenario.steady(0.45).losing("z2", 10);
    tables.add(
        new Table(
            "faults",
            "attainment in %; misses in %; KB/s between regions",
            List.of(
                column("straggler x5 at 0.9", slow, warm, end),
                new Column("its misses", slow, r -> 100 - 100 * r.attainment(-1, warm, end)),
                column("fast failing at 0.8", failing, warm, end),
                column("stall from 10 s at 0.6", stall, warm, end),
                column("zone lost at 0.45", zone, warm, end),
                new Column(
                    "region KB/s at 0.8",
                    Scenario.steady(0.8),
                    r -> r.regionBytes / 1000.0 / (end + 2)),
                new Column(
                    "attempts/request at 2.0",
                    Scenario.steady(2.0),
                    r -> (double) r.attempts / (2.0 * SETTINGS.capacity() * end)))));
    Scenario burst = Scenario.load("burst", (f, t) -> (t >= 10 && t < 20 ? 3 : 1) * 0.7 / 2);
    tables.add(
        new Table(
            "burst",
            "load 0.7, three times as much from 10 s to 20 s",
            List.of(
                column("during, %", burst, 10, 20),
                column("from 20 s, %", burst, 20, end),
                new Column(
                    "seconds until over 99% for good", burst, r -> r.recovery(20, end, 0.99)))));
    Scenario wake = Scenario.load("wake", (f, t) -> f == 0 ? 1.0 : t >= 15 ? 0.4 : 0);
    Scenario alone = Scenario.load("alone", (f, t) -> f == 1 && t >= 15 ? 0.4 : 0);
    tables.add(
        new Table(
            "wake",
            "firm 1 at load 0.4 from 15 s, beside firm 0 at load 1.0 and alone",
            List.of(
                new Column("beside, first 2 s, %", wake, r -> 100 * r.attainment(1, 15, 17)),
                new Column("beside, 15 s, %", wake, r -> 100 * r.attainment(1, 15, end)),
                new Column("alone, first 2 s, %", alone, r -> 100 * r.attainment(1, 15, 17)),
                new Column("alone, 15 s, %", alone, r -> 100 * r.attainment(1, 15, end)),
                new Column("firm 0 beside, %", wake, r -> 100 * r.attainment(0, 15, end)))));
    return tables;
  }

  private static Column column(String name, Scenario scenario, double from, double to) {
    return new Column(name, scenario, r -> 100 * r.attainment(-1, from, to));
  }

  private static List<PolicySpec> policies() {
    List<PolicySpec> policies = new ArrayList<>();
    policies.add(PolicySpec.product());
    policies.add(new PolicySpec(Routing.ROUTER, AdmissionKind.ADMISSION, false));
    policies.add(new PolicySpec(Routing.ROUTER, AdmissionKind.FIXED, true));
    policies.add(new PolicySpec(Routing.ROUTER, AdmissionKind.FIFO, false));
    policies.add(new PolicySpec(Routing.PLACE_BLIND, AdmissionKind.ADMISSION, false));
    for (AdmissionKind admission : List.of(AdmissionKind.FIFO, AdmissionKind.NONE)) {
      for (Routing routing :
          List.of(
              Routing.RANDOM, Routing.ROUND_ROBIN, Routing.LEAST_REPORTED, Routing.PLACE_BLIND)) {
        policies.add(new PolicySpec(routing, admission, false));
      }
    }
    return policies;
  }

  private static void print(Table table, int seeds) {
    StringBuilder text = new StringBuilder("\n### " + table.name + ": " + table.unit + "\n\n");
    text.append("| policy |");
    table.columns.forEach(c -> text.append(' ').append(c.name).append(" |"));
    text.append("\n|---|").append("---|".repeat(table.columns.size())).append('\n');
    List<PolicySpec> policies = policies();
    String[] rows = new String[policies.size()];
    IntStream.range(0, rows.length)
        .parallel()
        .forEach(i -> rows[i] = row(table, policies.get(i), seeds));
    for (String row : rows) {
      text.append(row);
    }
    System.out.print(text);
  }

  private static String row(Table table, PolicySpec policy, int seeds) {
    StringBuilder row = new StringBuilder("| " + policy.label() + " |");
    Scenario last = null;
    List<Report> reports = List.of();
    for (Column column : table.columns) {
      if (column.scenario != last) {
        last = column.scenario;
        reports =
            LongStream.rangeClosed(1, seeds)
                .mapToObj(seed -> QueueModel.run(SETTINGS, column.scenario, policy, seed))
                .toList();
      }
      double[] values = reports.stream().mapToDouble(column.value).toArray();
      row.append(
          String.format(
              Locale.ROOT,
              " %.2f (%.2f–%.2f) |",
              Arrays.stream(values).average().orElse(0),
              Arrays.stream(values).min().orElse(0),
              Arrays.stream(values).max().orElse(0)));
    }
    return row.append('\n').toString();
  }

  private record Table(String name, String unit, List<Column> columns) {}

  private record Column(String name, Scenario scenario, ToDoubleFunction<Report> value) {}
}
