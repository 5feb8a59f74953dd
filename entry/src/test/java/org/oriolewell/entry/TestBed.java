package org.oriolewell.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.ConfigJson;
import org.oriolewell.core.config.FirmSpec;
import org.oriolewell.core.config.PipelineSpec;
import org.oriolewell.core.config.PoolSpec;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.core.config.WorkspaceSpec;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.http.JsonServer;
import org.oriolewell.runtime.log.EventLog;

/**
 * A running entry on free ports, with a stand-in for the store that returns a fixed configuration.
 */
final class TestBed implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(10);

  final Entry entry;
  private final JsonServer store;
  private final HttpClient http = HttpClient.newHttpClient();

  private TestBed(ConfigDocument config, String extraSettings, FakeAgent... agents)
      throws Exception {
    store =
        JsonServer.of(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                1 << 20,
                EventLog.of("test", InstantSource.system()))
            .route(
                "GET",
                "/v1/kv/config/document",
                call -> document(config, call.query("after").isPresent()))
            .start("store");
    String text =
        "store.url = \"http://127.0.0.1:"
            + store.address().getPort()
            + "\"\ncallers.port = 0\noperators.port = 0\nentry.zone = \"z1\"\nentry.region = \"r1\""
            + "\nagents.static = ["
            + Stream.of(agents)
                .map(agent -> '"' + agent.name + '@' + agent.address() + '"')
                .collect(Collectors.joining(","))
            + "]\n"
            + extraSettings;
    entry = Entry.start(EntrySettings.SPEC.parse("test", text), server -> {});
    if (config.version() > 0) {
      await(() -> get("/ready", true).statusCode() == 200);
    }
    await(() -> connectedAgentCount() == agents.length);
  }

  static TestBed start(String extraSettings, FakeAgent... agents) throws Exception {
    return new TestBed(config(), extraSettings, agents);
  }

  static TestBed withoutConfig() throws Exception {
    return new TestBed(ConfigDocument.empty(), "");
  }

  /**
   * Replies to a read with the configuration document, and to a watch as if it timed out without a
   * change.
   */
  private static CompletableFuture<HttpReply> document(ConfigDocument config, boolean watch) {
    return CompletableFuture.completedFuture(
        watch || config.version() == 0
            ? HttpReply.text(watch ? 304 : 404, "")
            : HttpReply.bytes(200, ConfigJson.write(config), Map.of("Revision", "1")));
  }

  private static ConfigDocument config() {
    StageSpec encode = new StageSpec("encode", "encoders", "encode", true, 0, null, 0);
    StageSpec generate = new StageSpec("generate", "engines", "generate", true, 0, "m", 64);
    StageSpec pay = new StageSpec("pay", "ledgers", "pay", false, 0, null, 0);
    return new ConfigDocument(
        ConfigDocument.SCHEMA,
        1,
        Map.of("f", new FirmSpec(1)),
        Map.of("w", new WorkspaceSpec("f", 1, 5)),
        Map.of("ledgers", new PoolSpec(PoolSpec.Kind.SERVICE, 1, List.of(), false)),
        Map.of(
            "encode", new PipelineSpec(0, List.of(encode)),
            "chat", new PipelineSpec(11_000, List.of(encode, generate)),
            "draft", new PipelineSpec(11_000, List.of(generate)),
            "payout", new PipelineSpec(11_000, List.of(pay)),
            "dossier", new PipelineSpec(11_000, List.of(pay, encode))),
        Map.of(),
        List.of());
  }

  /**
   * Returns the JSON body of a request; {@code extraMembers} is appended and starts with a comma.
   */
  static String body(String pipeline, String extraMembers) {
    return "{\"pipeline\":\""
        + pipeline
        + "\",\"workspace\":\"w\",\"input\":{\"q\":1}"
        + extraMembers
        + "}";
  }

  CompletableFuture<HttpResponse<String>> postAsync(String body) {
    return http.sendAsync(
        request("/v1/requests", false).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> post(String body) throws Exception {
    return postAsync(body).get(10, java.util.concurrent.TimeUnit.SECONDS);
  }

  HttpResponse<String> postUnchecked(String body) {
    return postAsync(body).join();
  }

  HttpResponse<String> settle(String body) throws Exception {
    return http.send(
        request("/v1/calls/settle", false).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  CompletableFuture<HttpResponse<Stream<String>>> openStream(String body) {
    return http.sendAsync(
        request("/v1/requests", false).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
        HttpResponse.BodyHandlers.ofLines());
  }

  HttpResponse<String> get(String path, boolean toOperatorsPort) {
    try {
      return http.send(
          request(path, toOperatorsPort).GET().build(), HttpResponse.BodyHandlers.ofString());
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpRequest.Builder request(String path, boolean toOperatorsPort) {
    int port = (toOperatorsPort ? entry.operatorsAddress() : entry.callersAddress()).getPort();
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
  }

  long connectedAgentCount() {
    JsonNode agents = json(get("/v1/status", true)).path("agents");
    long count = 0;
    for (JsonNode agent : agents) {
      count += agent.path("connected").asBoolean() ? 1 : 0;
    }
    return count;
  }

  static JsonNode json(HttpResponse<String> response) {
    try {
      return JSON.readTree(response.body());
    } catch (java.io.IOException e) {
      throw new IllegalStateException(response.body(), e);
    }
  }

  /** Waits until a condition holds; fails after {@link #AWAIT_TIMEOUT}. */
  static void await(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("the condition did not hold within " + AWAIT_TIMEOUT);
      }
      LockSupport.parkNanos(2_000_000);
    }
  }

  /** Waits until a number is positive and has not changed for half a second. */
  static void awaitStable(IntSupplier number) {
    int[] lastValue = {-1};
    long[] unchangedSinceNanos = {System.nanoTime()};
    await(
        () -> {
          if (number.getAsInt() != lastValue[0] || lastValue[0] <= 0) {
            lastValue[0] = number.getAsInt();
            unchangedSinceNanos[0] = System.nanoTime();
          }
          return System.nanoTime() - unchangedSinceNanos[0] > 500_000_000;
        });
  }

  /** Closes the entry, which is a planned stop. */
  void closeEntry() {
    try {
      entry.close();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() throws Exception {
    entry.close();
    store.close();
  }
}
