package org.oriolewell.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.platform.HostList;
import org.oriolewell.runtime.platform.HttpHostList;

/** Guards against faults in the smaller stand-ins and in what all of them share. */
class StandinsTest {

  /**
   * Guards against a host list that the product's client can't read, or that shows changes early.
   */
  @Test
  void hostListShowsChangesAfterTheLag() throws Exception {
    HttpClient http = new HttpClient();
    http.start();
    String settings =
        "lag_ms = 300\nhosts = [\"h1 127.0.0.1 7000 agent permits de-cymru-a de-cymru"
            + " gwifren live\"]";
    try (HostListStandin standin = HostListStandin.start(settings)) {
      HostList hosts = HttpHostList.of(http, standin.uri(), Duration.ofSeconds(5));
      HostList.Host host =
          new HostList.Host(
              "h1",
              "127.0.0.1",
              7000,
              "agent",
              "permits",
              "de-cymru-a",
              "de-cymru",
              "gwifren",
              HostList.State.LIVE);
      assertThat(hosts.hosts().join()).containsExactly(host);

      long changed = System.nanoTime();
      Http.send(standin, "PUT", "/v1/hosts/h1", "{\"port\":7001,\"state\":\"leaving\"}").join();
      Await.until(() -> hosts.hosts().join().get(0).state() == HostList.State.LEAVING);
      assertThat(System.nanoTime() - changed).isGreaterThan(300_000_000L);
    } finally {
      http.stop();
    }
  }

  /** Guards against outputs that differ between members of a pool. */
  @Test
  void poolMembersAgreeOnOutputs() {
    String call = "{\"request_id\":\"r\",\"operation\":\"rerank\",\"input\":{\"a\":1}}";
    try (PoolStandin one = PoolStandin.start("service_time.seed = 1");
        PoolStandin two = PoolStandin.start("service_time.seed = 2")) {
      String output = Http.post(one, "/v1/process", call).body();
      assertThat(Http.post(two, "/v1/process", call).body()).isEqualTo(output).contains("ranked");
      assertThat(one.executions().times("rerank", "r")).isEqualTo(1);
    }
  }

  /** Guards against downloads that exceed the rate together. */
  @Test
  void downloadsShareTheRate() {
    try (WeightStandin weights =
        WeightStandin.start("rate_bytes = 1000000\nsizes = [\"m:1=200000\"]")) {
      long start = System.nanoTime();
      var first = Http.send(weights, "GET", "/v1/weights/m/1", "");
      var second = Http.send(weights, "GET", "/v1/weights/m/1", "");

      assertThat(first.join().body()).hasSize(200_000);
      assertThat(second.join().body()).hasSize(200_000);
      assertThat(Duration.ofNanos(System.nanoTime() - start)).isGreaterThan(Duration.ofMillis(300));
    }
  }

  /** Guards against a network latency that is left out in one direction. */
  @Test
  void addsNetworkLatencyBothWays() {
    try (PoolStandin pool =
        PoolStandin.start("service_time.median_ms = 0\nnetwork.one_way_ms = 50")) {
      long start = System.nanoTime();
      Http.post(pool, "/v1/process", "{\"operation\":\"encode\"}");
      assertThat(Duration.ofNanos(System.nanoTime() - start)).isGreaterThan(Duration.ofMillis(100));
    }
  }

  /** Guards against a stand-in that answers its calls before it stops, unlike one that dies. */
  @Test
  void closeCutsCallsInFlight() {
    PoolStandin pool = PoolStandin.start("service_time.median_ms = 600000");
    final CompletableFuture<?> call = Http.send(pool, "POST", "/v1/process", "{\"operation\":\"x\"}");
    Await.until(() -> pool.executions().total() == 1);

    long start = System.nanoTime();
    pool.close();

    assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(4));
    assertThat(call.handle((answer, failure) -> failure).join()).isNotNull();
  }

  /** Guards against a page of log events that differs from the program. */
  @Test
  void logEventPageMatchesTheProgram() throws IOException {
    List<String> page = Files.readAllLines(Path.of("../docs/log-events-standins.md"));
    List<String> rows =
        Arrays.stream(StandinEvent.values())
            .map(e -> String.format("| %s | %s | %s | %s |", e.id(), e, e.level(), e.meaning()))
            .toList();
    assertThat(page).containsSubsequence(rows);
    assertThat(page.stream().filter(line -> line.startsWith("| OW-"))).hasSameSizeAs(rows);
  }
}
