package org.oriolewell.agent;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.http.JsonServer;
import org.oriolewell.runtime.log.EventLog;

/** Stands for all three kinds of upstream; a test decides how each call is answered. */
final class FakeUpstream implements AutoCloseable {
  /** Calls that arrived, in order. */
  final BlockingQueue<HttpCall> calls = new LinkedBlockingQueue<>();

  /** Request ids that were canceled. */
  final BlockingQueue<String> cancels = new LinkedBlockingQueue<>();

  /** Orders that arrived, in order. */
  final List<JsonNode> orders = new CopyOnWriteArrayList<>();

  /** Answers stage and service calls. */
  volatile Function<HttpCall, CompletableFuture<HttpReply>> answer =
      call -> reply(200, Map.of("output", Map.of("ok", true)));

  /** Answers a generation; the default leaves it open. */
  volatile Function<HttpCall, CompletableFuture<HttpReply>> generate =
      call -> new CompletableFuture<>();

  /** Takes an order and answers it. */
  volatile Function<JsonNode, CompletableFuture<HttpReply>> order = order -> reply(200, Map.of());

  /** State that the engine reports. */
  volatile Object state = Map.of();

  private final JsonServer server;

  private FakeUpstream() {
    server =
        JsonServer.of(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                1 << 20,
                EventLog.of("fake-upstream", InstantSource.system()))
            .route("POST", "/v1/process", this::answered)
            .route("POST", "/v1/operations/{name}", this::answered)
            .streamRoute("POST", "/v1/generate", this::generated)
            .route(
                "POST",
                "/v1/cancel",
                call -> {
                  cancels.add(json(call).path("request_id").asText());
                  return reply(200, Map.of());
                })
            .route("GET", "/v1/state", call -> reply(200, state))
            .route(
                "POST",
                "/v1/orders",
                call -> {
                  JsonNode node = json(call);
                  orders.add(node);
                  return order.apply(node);
                })
            .start("fake-upstream");
  }

  static FakeUpstream start() {
    return new FakeUpstream();
  }

  static CompletableFuture<HttpReply> reply(int status, Object body) {
    return CompletableFuture.completedFuture(HttpReply.json(status, body));
  }

  private CompletableFuture<HttpReply> answered(HttpCall call) {
    calls.add(call);
    return answer.apply(call);
  }

  private CompletableFuture<HttpReply> generated(HttpCall call) {
    calls.add(call);
    return generate.apply(call);
  }

  static JsonNode json(HttpCall call) {
    try {
      return call.json();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Waits for a call to arrive. */
  HttpCall awaitCall() throws InterruptedException {
    HttpCall call = calls.poll(10, TimeUnit.SECONDS);
    if (call == null) {
      throw new AssertionError("no call reached the upstream");
    }
    return call;
  }

  String url() {
    return "http://127.0.0.1:" + server.address().getPort();
  }

  @Override
  public void close() {
    server.close();
  }
}
