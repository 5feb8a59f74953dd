package org.oriolewell.loadtool;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.http.JsonServer;
import org.oriolewell.runtime.log.EventLog;

/** Guards against a tool that miscounts a run from its command line to its report. */
class LoadMainTest {
  private static final String WORKLOAD =
      """
      duration_ms = 500
      [[traffic]]
      pipeline = "p"
      workspace = "w"
      firm = "f"
      rate = 100
      deadline_ms = 5000
      retries = 1
      keys = "time"
      """;

  private final AtomicInteger calls = new AtomicInteger();
  private JsonServer entry;

  @BeforeEach
  void start() {
    entry =
        JsonServer.of(
                new InetSocketAddress("127.0.0.1", 0),
                1 << 20,
                EventLog.of("test", InstantSource.system()))
            .route("POST", "/v1/requests", this::answer)
            .route(
                "GET",
                "/metrics",
                call -> done(HttpReply.text(200, "oriolewell_bytes_total " + calls.get() + "\n")))
            .start("entry");
  }

  @AfterEach
  void stop() {
    entry.close();
  }

  private static CompletableFuture<HttpReply> done(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }

  /** Refuses every tenth call and answers the others. */
  private CompletableFuture<HttpReply> answer(HttpCall call) {
    if (calls.incrementAndGet() % 10 == 0) {
      return done(
          HttpReply.problem(
              429,
              Map.of("type", "urn:oriolewell:problem:overloaded", "outcome", "not_run"),
              Map.of()));
    }
    return done(
        HttpReply.json(
            200,
            Map.of(
                "outcome", "answered",
                "output", Map.of("x", 1),
                "stages", List.of(Map.of("stage", "s", "upstream", "u", "ms", 1.5)))));
  }

  /** Guards against lost requests, uncounted retries and stage times, and a wrong exit code. */
  @Test
  void reportsWhatTheEntryAnswered(@TempDir Path directory) throws Exception {
    Path workload = Files.writeString(directory.resolve("w.toml"), WORKLOAD);
    Path report = directory.resolve("report.json");
    String url = "http://127.0.0.1:" + entry.address().getPort();
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int code =
        LoadMain.run(
            new String[] {
              "--workload",
              workload.toString(),
              "--entry",
              url,
              "--metrics",
              url,
              "--report",
              report.toString(),
              "--min-attainment",
              "10"
            },
            new PrintStream(out, true, StandardCharsets.UTF_8),
            System.err);

    JsonNode json = new ObjectMapper().readTree(report.toFile());
    JsonNode total = json.path("total");
    int requests = total.path("requests").intValue();
    assertThat(code).isZero();
    assertThat(requests).isBetween(30, 80);
    assertThat(requests + total.path("retried").intValue()).isEqualTo(calls.get());
    assertThat(total.path("retried").intValue()).isPositive();
    assertThat(json.at("/stage_ms/p~1s/p50").doubleValue()).isBetween(1.49, 1.51);
    assertThat(json.at("/counters/oriolewell_bytes_total").intValue()).isEqualTo(calls.get());
    assertThat(out.toString(StandardCharsets.UTF_8)).contains("pipeline p", "firm f");
  }

  /** Guards against a run that passes although it misses its bound or its command line is wrong. */
  @Test
  void exitCodeTellsFailure(@TempDir Path directory) throws Exception {
    entry.close();
    Path workload = Files.writeString(directory.resolve("w.toml"), WORKLOAD);
    String url = "http://127.0.0.1:1";
    PrintStream out = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
    String[] run = {"--workload", workload.toString(), "--entry", url, "--min-attainment", "99"};

    assertThat(LoadMain.run(run, out, out)).isEqualTo(1);
    assertThat(LoadMain.run(new String[] {"--entry", url}, out, out)).isEqualTo(2);
    assertThat(LoadMain.run(new String[] {}, out, out)).isEqualTo(2);
  }

  /** Guards against a page of log events that differs from the program. */
  @Test
  void logEventPageMatchesTheProgram() throws IOException {
    List<String> page = Files.readAllLines(Path.of("../docs/log-events-loadtool.md"));
    List<String> rows =
        Arrays.stream(LoadEvent.values())
            .map(e -> String.format("| %s | %s | %s | %s |", e.id(), e, e.level(), e.meaning()))
            .toList();
    assertThat(page).containsSubsequence(rows);
    assertThat(page.stream().filter(line -> line.startsWith("| OW-"))).hasSameSizeAs(rows);
  }
}
