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

/** Fake of all three kinds of upstream; a test sets how requests are answered. */
final class FakeUpstream implements AutoCloseable {
  /** Stage, service and generation calls in the order in which they were received. */
  final BlockingQueue<HttpCall> receivedCalls = new LinkedBlockingQueue<>();

  /** Request ids of the cancel requests that were received. */
  final BlockingQueue<String> canceledRequestIds = new LinkedBlockingQueue<>();

  /** Engine orders in the order in which they were received. */
  final List<JsonNode> receivedOrders = new CopyOnWriteArrayList<>();

  /** Answers a stage or service call. */
  volatile Function<HttpCall, CompletableFuture<HttpReply>> answerCall =
      call -> reply(200, Map.of("output", Map.of("ok", true)));

  /** Answers a generation call of an engine; by default it is never answered. */
  volatile Function<HttpCall, CompletableFuture<HttpReply>> answerGeneration =
      call -> new CompletableFuture<>();

  /** Answers an engine order. */
  volatile Function<JsonNode, CompletableFuture<HttpReply>> answerOrder =
      order -> reply(200, Map.of());

  /** Engine state that is reported, written as JSON. */
  volatile Object engineState = Map.of();

  private final JsonServer server;

  private FakeUpstream() {
    server =
        JsonServer.of(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                1 << 20,
                EventLog.of("fake-upstream", InstantSource.system()))
            .route("POST", "/v1/process", this::handleCall)
            .route("POST", "/v1/operations/{name}", this::handleCall)
            .streamRoute("POST", "/v1/generate", this::handleGeneration)
            .route(
                "POST",
                "/v1/cancel",
                call -> {
                  canceledRequestIds.add(json(call).path("request_id").asText());
                  return reply(200, Map.of());
                })
            .route("GET", "/v1/state", call -> reply(200, engineState))
            .route(
                "POST",
                "/v1/orders",
                call -> {
                  JsonNode order = json(call);
                  receivedOrders.add(order);
                  return answerOrder.apply(order);
                })
            .start("fake-upstream");
  }

  static FakeUpstream start() {
    return new FakeUpstream();
  }

  static CompletableFuture<HttpReply> reply(int status, Object body) {
    return CompletableFuture.completedFuture(HttpReply.json(status, body));
  }

  private CompletableFuture<HttpReply> handleCall(HttpCall call) {
    receivedCalls.add(call);
    return answerCall.apply(call);
  }

  private CompletableFuture<HttpReply> handleGeneration(HttpCall call) {
    receivedCalls.add(call);
    return answerGeneration.apply(call);
  }

  static JsonNode json(HttpCall call) {
    try {
      return call.json();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Waits for the next received call and removes it from {@link #receivedCalls}. */
  HttpCall awaitCall() throws InterruptedException {
    HttpCall call = receivedCalls.poll(10, TimeUnit.SECONDS);
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
