package org.oriolewell.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against an engine that breaks the promises on which resume, cancel and orders rely. */
class EngineStandinTest {
  private static final String FAST = "step.base_ms = 1\n";

  private EngineStandin engine = EngineStandin.start(FAST + "orders.load_ms = 20");

  @AfterEach
  void stop() {
    engine.close();
  }

  private void restart(String settings) {
    engine.close();
    engine = EngineStandin.start(FAST + settings);
  }

  private CompletableFuture<List<JsonNode>> generate(String id, int max, int from, int priority) {
    String body =
        String.format(
            "{\"request_id\":\"%s\",\"prompt\":\"tram %s\",\"max_tokens\":%d,\"resume_from\":%d,"
                + "\"priority\":%d,\"model\":\"base\"}",
            id, id.charAt(0), max, from, priority);
    return Http.send(engine, "POST", "/v1/generate", body)
        .thenApply(response -> response.body().lines().map(EngineStandinTest::parse).toList());
  }

  private static JsonNode parse(String line) {
    try {
      return new ObjectMapper().readTree(line);
    } catch (IOException e) {
      throw new IllegalArgumentException(line, e);
    }
  }

  /** Guards against resumed streams whose tokens differ from those of the first stream. */
  @Test
  void resumedStreamContinuesWithSameTokens() {
    List<JsonNode> whole = generate("r1", 8, 0, 0).join();
    List<JsonNode> rest = generate("r2", 8, 5, 0).join();

    assertThat(rest).isEqualTo(whole.subList(5, 9));
    assertThat(whole.get(3).path("token").textValue()).isEqualTo(TokenText.at("tram r", 3));
    assertThat(whole.get(8)).isEqualTo(parse("{\"done\":true,\"count\":8}"));
  }

  /** Guards against cancelled work that goes on to hold the engine or looks complete. */
  @Test
  void cancelEndsTheStreamAsCancelled() {
    CompletableFuture<List<JsonNode>> stream = generate("r1", 1_000_000, 0, 0);
    Await.until(
        () ->
            Http.json(Http.post(engine, "/v1/cancel", "{\"request_id\":\"r1\"}"))
                    .path("cancelled")
                    .intValue()
                == 1);

    List<JsonNode> lines = stream.join();
    assertThat(lines.get(lines.size() - 1).path("cancelled").booleanValue()).isTrue();
    Await.until(() -> Http.get(engine, "/v1/load").path("running").intValue() == 0);
  }

  /** Guards against an engine that ignores priorities when sequences wait. */
  @Test
  void admitsHigherPriorityFirst() {
    restart("batch.max = 1");
    engine.faults().set(Fault.of(Fault.Kind.SLOW_FACTOR, 20));
    final CompletableFuture<List<JsonNode>> first = generate("a", 5, 0, 0);
    Await.until(() -> engine.executions().total() == 1);
    final CompletableFuture<List<JsonNode>> low = generate("b", 50, 0, 1);
    Await.until(() -> engine.executions().total() == 2);
    CompletableFuture<List<JsonNode>> high = generate("c", 5, 0, 9);

    assertThat(high.join()).hasSize(6);
    assertThat(first).isCompleted();
    assertThat(low).isNotDone();
  }

  /** Guards against an engine whose steps cost the same for one sequence as for a full batch. */
  @Test
  void stepTimeGrowsWithTheBatch() {
    restart("step.per_sequence_ms = 5\nprefill.per_token_us = 0\nload.lag_ms = 10");
    for (String id : List.of("a", "b", "c")) {
      generate(id, 1_000_000, 0, 0);
    }
    Await.until(() -> Http.get(engine, "/v1/load").path("step_ms").doubleValue() == 16);

    for (String id : List.of("a", "b")) {
      Http.post(engine, "/v1/cancel", "{\"request_id\":\"" + id + "\"}");
    }
    Await.until(() -> Http.get(engine, "/v1/load").path("step_ms").doubleValue() == 6);
  }

  /** Guards against a cut stream that looks whole. */
  @Test
  void cutStreamIsNotWhole() {
    engine.faults().set(Fault.next(Fault.Kind.DROP_ANSWER, 3, 1, "generate"));

    assertThat(generate("r1", 8, 0, 0).handle((lines, failure) -> failure).join()).isNotNull();
    assertThat(generate("r1", 8, 0, 0).join()).hasSize(9);
  }

  private HttpResponse<String> order(int fencing, String expect, String rest) {
    return Http.post(
        engine,
        "/v1/orders",
        "{\"fencing\":" + fencing + ",\"expect\":" + expect + "," + rest + "}");
  }

  /** Guards against an engine that obeys a former owner, or an order made for another state. */
  @Test
  void refusesOldTokensAndWrongExpectations() {
    String load = "\"order\":\"load\",\"model\":\"draft\",\"version\":\"2\"";
    assertThat(order(5, "\"generate|base:1\"", load).statusCode()).isEqualTo(200);
    assertThat(order(4, "null", load).body()).contains("old_fencing_token");
    assertThat(order(6, "1", load).body()).contains("unexpected_state");
    Await.until(
        () ->
            Http.get(engine, "/v1/state")
                .path("state")
                .textValue()
                .equals("generate|base:1,draft:2"));

    String role = "\"order\":\"role\",\"role\":\"idle\"";
    assertThat(order(6, "{\"role\":\"generate\",\"loading\":[]}", role).statusCode())
        .isEqualTo(200);
    assertThat(generate("r1", 1, 0, 0).join().get(0).path("error").textValue()).contains("role");
  }

  /** Guards against a setting that doesn't turn the token check off. */
  @Test
  void ignoresTokensIfSetSo() {
    restart("orders.checks_fencing = false");
    String role = "\"order\":\"role\",\"role\":\"generate\"";
    assertThat(order(5, "null", role).statusCode()).isEqualTo(200);
    assertThat(order(4, "null", role).statusCode()).isEqualTo(200);
  }

  /** Guards against a model that is served before its weights are there. */
  @Test
  void loadsWeightsFromTheWeightStore() {
    try (WeightStandin weights = WeightStandin.start("size_bytes = 2000\nrate_bytes = 100000")) {
      restart("orders.weights = \"" + weights.uri() + "\"");
      weights.faults().set(Fault.of(Fault.Kind.STALL, 0));
      String load = "\"order\":\"load\",\"model\":\"draft\",\"version\":\"2\"";
      JsonNode state = Http.json(order(1, "null", load));
      assertThat(state.at("/loading/0/model").textValue()).isEqualTo("draft");
      assertThat(state.path("state").textValue()).isEqualTo("generate|base:1");

      weights.faults().clear();

      Await.until(() -> Http.get(engine, "/v1/state").path("loading").isEmpty());
      assertThat(Http.get(engine, "/v1/state").path("models")).hasSize(2);
      assertThat(weights.executions().times("download", "draft:2")).isEqualTo(1);
    }
  }
}
