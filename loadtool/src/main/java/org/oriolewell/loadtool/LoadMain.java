package org.oriolewell.loadtool;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Level;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.LogOutput;
import org.oriolewell.runtime.program.ExitCode;

/**
 * Sends a workload to entries, or to stand-ins directly, and reports what came of it.
 *
 * <p>Example: {@code oriolewell-load --workload day.toml --entry http://127.0.0.1:8080}.
 */
public final class LoadMain {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_QUEUED = 1 << 20;
  private static final int THREADS = 16;
  private static final double LATE_MILLIS = 10;

  private final LoadOptions options;
  private final EventLog log;
  private final InstantSource clock = InstantSource.system();

  private LoadMain(LoadOptions options) {
    this.options = options;
    log = EventLog.of("load", clock);
  }

  /** Runs the tool. */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  /** Runs the tool and returns its exit code. */
  static int run(String[] args, PrintStream out, PrintStream err) {
    LoadOptions options = new LoadOptions();
    CmdLineParser parser =
        new CmdLineParser(options, ParserProperties.defaults().withUsageWidth(100));
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println("oriolewell-load: " + e.getMessage() + "; see oriolewell-load --help.");
      return ExitCode.USAGE;
    }
    if (options.help) {
      out.println("Usage: oriolewell-load [options]");
      parser.printUsage(out);
      return ExitCode.OK;
    }
    if (options.entries.isEmpty() == options.direct.isEmpty()) {
      err.println("oriolewell-load: give either --entry or --direct.");
      return ExitCode.USAGE;
    }
    LogOutput.install(Level.INFO);
    return new LoadMain(options).runAndReport(out, err);
  }

  private int runAndReport(PrintStream out, PrintStream err) {
    File file = options.workload;
    if (file == null) {
      err.println("oriolewell-load: --workload is missing; name a TOML file.");
      return ExitCode.USAGE;
    }
    try {
      Workload workload =
          WorkloadFile.read(file.toPath())
              .with(options.seed, duration(options.durationMillis), options.scale);
      return report(workload, out);
    } catch (WorkloadFile.WorkloadException e) {
      err.println(e.getMessage());
      return ExitCode.SETTINGS;
    } catch (Exception e) {
      err.println("oriolewell-load: the run failed: " + e);
      return ExitCode.FAILED;
    }
  }

  private static @Nullable Duration duration(@Nullable Long millis) {
    return millis == null ? null : Duration.ofMillis(millis);
  }

  private int report(Workload workload, PrintStream out) throws Exception {
    Counters before = counters();
    Tally tally = measure(workload);
    Map<String, Double> rise = counters().since(before);
    Audit audit = audit(tally);
    Report report = new Report(workload, tally, audit, rise, baseline());
    JsonNode json = JSON.valueToTree(report.json());
    if (options.report != null) {
      Files.writeString(
          options.report.toPath(), JSON.writerWithDefaultPrettyPrinter().writeValueAsString(json));
    }
    out.print(ReportText.of(json));
    boolean attained = report.total().attainment() * 100 >= options.minAttainment;
    return attained && (audit == null || audit.clean()) ? ExitCode.OK : ExitCode.FAILED;
  }

  private Tally measure(Workload workload) throws Exception {
    HttpClient client = client();
    ScheduledExecutorService retries = Executors.newScheduledThreadPool(2);
    log.event(LoadEvent.RUN_STARTED)
        .with("seed", workload.seed())
        .with("duration_ms", workload.duration().toMillis())
        .write();
    try {
      Tally tally = start(workload, client, retries);
      log.event(LoadEvent.RUN_ENDED).with("requests", tally.ended().size()).write();
      warn(tally);
      return tally;
    } finally {
      retries.shutdownNow();
      client.stop();
    }
  }

  private Tally start(Workload workload, HttpClient client, ScheduledExecutorService retries) {
    if (options.entries.isEmpty()) {
      Target target = new DirectTarget(client, options.direct);
      return LoadRun.run(workload, target, null, retries, clock);
    }
    EntryTarget entries = new EntryTarget(client, options.entries);
    return LoadRun.run(workload, entries, entries::settle, retries, clock);
  }

  private HttpClient client() throws Exception {
    HttpClient client = new HttpClient();
    QueuedThreadPool threads = new QueuedThreadPool(THREADS);
    threads.setName("load");
    client.setExecutor(threads);
    client.setMaxConnectionsPerDestination(options.connections);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED);
    client.start();
    return client;
  }

  private void warn(Tally tally) {
    if (tally.sendLag.millis(99) > LATE_MILLIS) {
      log.event(LoadEvent.SENT_LATE).with("p99_ms", tally.sendLag.millis(99)).write();
    }
    if (tally.unfinished() > 0) {
      log.event(LoadEvent.UNFINISHED).with("requests", tally.unfinished()).write();
    }
  }

  private Counters counters() {
    try {
      return Counters.read(options.metrics);
    } catch (IOException e) {
      log.event(LoadEvent.COUNTERS_UNAVAILABLE).cause(e).write();
      return Counters.parse("");
    }
  }

  private @Nullable Audit audit(Tally tally) throws IOException {
    if (options.audit.isEmpty()) {
      return null;
    }
    long end = System.nanoTime() + Duration.ofMillis(options.auditWaitMillis).toNanos();
    for (long wait = end - System.nanoTime(); wait > 0; wait = end - System.nanoTime()) {
      LockSupport.parkNanos(wait);
    }
    Audit audit = Audit.of(options.audit, tally.ended(), tally.countedFromMillis());
    if (!audit.clean()) {
      log.event(LoadEvent.AUDIT_FAILED).write();
    }
    return audit;
  }

  private @Nullable JsonNode baseline() throws IOException {
    return options.compare == null ? null : JSON.readTree(options.compare);
  }
}
