package org.oriolewell.loadtool;

import java.io.File;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Options of the load tool. */
final class LoadOptions {
  @Option(name = "--workload", metaVar = "FILE", usage = "TOML file that says what to send")
  @Nullable File workload;

  @Option(
      name = "--entry",
      metaVar = "URL",
      usage = "callers' port of an entry; give several to use them in turn")
  List<URI> entries = new ArrayList<>();

  @Option(
      name = "--direct",
      metaVar = "URL",
      usage = "stand-in to call without the system between, in place of --entry; may be repeated")
  List<URI> direct = new ArrayList<>();

  @Option(
      name = "--audit",
      metaVar = "URL",
      usage = "stand-in whose executions are compared with the outcomes; may be repeated")
  List<URI> audit = new ArrayList<>();

  @Option(
      name = "--audit-wait-ms",
      metaVar = "N",
      usage = "time between the last answer and the audit, in which late calls may still run")
  long auditWaitMillis = 1000;

  @Option(
      name = "--metrics",
      metaVar = "URL",
      usage = "operators' port whose counters are reported; may be repeated")
  List<URI> metrics = new ArrayList<>();

  @Option(name = "--report", metaVar = "FILE", usage = "write the report as JSON")
  @Nullable File report;

  @Option(
      name = "--compare",
      metaVar = "FILE",
      usage = "JSON report of an earlier run, such as one with --direct, to compare with")
  @Nullable File compare;

  @Option(
      name = "--connections",
      metaVar = "N",
      usage = "most connections to each entry or stand-in; further requests wait for one")
  int connections = 512;

  @Option(name = "--seed", metaVar = "N", usage = "seed in place of the workload's")
  @Nullable Long seed;

  @Option(name = "--duration-ms", metaVar = "N", usage = "duration in place of the workload's")
  @Nullable Long durationMillis;

  @Option(name = "--scale", metaVar = "X", usage = "factor of all rates")
  double scale = 1;

  @Option(
      name = "--min-attainment",
      metaVar = "PERCENT",
      usage = "exit with 1 if the attainment is below")
  double minAttainment = 0;

  @Option(
      name = "--help",
      aliases = {"-h"},
      help = true,
      usage = "print this help and exit")
  boolean help;
}
