package org.oriolewell.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.http.BodyTooLargeException;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.http.JsonServer;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.settings.Settings;

/**
 * The part that all stand-ins share: ports, network latency, faults, the ledger and its resources.
 */
final class StandinServer implements AutoCloseable {
  private static final int BODY_LIMIT_BYTES = 1 << 20;
  private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(10);

  final Timer timer;
  final EventLog log;
  final FaultPlan faults;
  final ExecutionLedger ledger;

  private final String kind;
  private final Settings settings;
  private final double oneWayMillis;
  private final Map<String, Double> zoneMillis;
  private final List<Consumer<Port>> routes = new ArrayList<>();
  private final List<JsonServer> servers = new ArrayList<>();

  /** Runs a call that has passed its faults. */
  @FunctionalInterface
  interface Handler {
    /**
     * Returns the answer.
     *
     * @param drop fault by which the answer is lost; a streaming handler must obey it itself
     */
    CompletableFuture<HttpReply> handle(HttpCall call, Optional<Fault> drop);
  }

  /**
   * One port.
   *
   * @param server server of the port
   * @param oneWayMillis latency of callers that name no zone
   */
  private record Port(JsonServer server, double oneWayMillis) {}

  StandinServer(String kind, Settings settings, InstantSource clock) {
    this.kind = kind;
    this.settings = settings;
    log = EventLog.of("standin-" + kind, clock);
    timer = new Timer("standin-" + kind);
    faults = new FaultPlan(timer, log);
    ledger = new ExecutionLedger(clock, log, settings.value(CommonSettings.LEDGER_LIMIT));
    oneWayMillis = settings.value(CommonSettings.ONE_WAY_MILLIS);
    zoneMillis = numbers(settings.value(CommonSettings.ZONE_MILLIS));
  }

  /** Returns {@code NAME=NUMBER} items as a map. */
  static Map<String, Double> numbers(List<String> items) {
    Map<String, Double> numbers = new LinkedHashMap<>();
    for (String item : items) {
      int sign = item.lastIndexOf('=');
      if (sign < 1) {
        throw new IllegalArgumentException(item + " is not NAME=NUMBER; correct the setting");
      }
      numbers.put(item.substring(0, sign), Double.parseDouble(item.substring(sign + 1)));
    }
    return numbers;
  }

  /** Adds a resource whose calls meet faults and latency. */
  StandinServer guarded(
      String method, String path, Function<HttpCall, String> label, Handler handler) {
    routes.add(
        port ->
            port.server()
                .route(method, path, call -> guard(port, call, label.apply(call), handler, false)));
    return this;
  }

  /** Adds a resource that answers with a stream and whose calls meet faults and latency. */
  StandinServer streaming(
      String method, String path, Function<HttpCall, String> label, Handler handler) {
    routes.add(
        port ->
            port.server()
                .streamRoute(
                    method, path, call -> guard(port, call, label.apply(call), handler, true)));
    return this;
  }

  /** Adds a resource that no fault affects. */
  StandinServer control(String method, String path, Function<HttpCall, HttpReply> handler) {
    routes.add(
        port ->
            port.server()
                .route(
                    method, path, call -> CompletableFuture.completedFuture(handler.apply(call))));
    return this;
  }

  /** Binds all ports. */
  StandinServer start(Supplier<Map<String, Object>> status) {
    control("GET", "/health", call -> HttpReply.text(200, "ok\n"));
    control("GET", "/ready", call -> HttpReply.text(200, "ready\n"));
    control("GET", "/v1/status", call -> HttpReply.json(200, status.get()));
    control("GET", "/executions", this::executions);
    control("GET", "/faults", call -> HttpReply.json(200, FaultJson.write(faults)));
    control("POST", "/faults", this::setFaults);
    control("DELETE", "/faults", this::clearFaults);
    listen(settings.value(CommonSettings.PORT), oneWayMillis, kind);
    numbers(settings.value(CommonSettings.EXTRA_PORTS))
        .forEach((port, millis) -> listen(Integer.parseInt(port), millis, kind + "-" + millis));
    return this;
  }

  private void listen(int port, double millis, String name) {
    InetSocketAddress address = new InetSocketAddress(settings.value(CommonSettings.ADDRESS), port);
    JsonServer server =
        JsonServer.of(address, BODY_LIMIT_BYTES, log)
            .idleTimeout(IDLE_TIMEOUT)
            .onFailure(StandinServer::failure);
    routes.forEach(route -> route.accept(new Port(server, millis)));
    servers.add(server.start(name));
  }

  InetSocketAddress address() {
    return servers.get(0).address();
  }

  private static HttpReply failure(Throwable cause) {
    if (cause instanceof BodyTooLargeException) {
      return error(413, cause.getMessage());
    }
    if (cause instanceof IllegalArgumentException || cause instanceof IOException) {
      return error(400, cause.getMessage());
    }
    return error(500, cause.toString());
  }

  /** Returns a reply with an error text. */
  static HttpReply error(int status, @Nullable String message) {
    return HttpReply.json(status, Map.of("error", String.valueOf(message)));
  }

  /**
   * Returns the body as a JSON object.
   *
   * @throws IllegalArgumentException if it isn't one; the call is answered with status 400
   */
  static JsonNode body(HttpCall call) {
    try {
      JsonNode body = call.json();
      if (body.isObject()) {
        return body;
      }
    } catch (IOException e) {
      throw new IllegalArgumentException("the body is not JSON: " + e.getMessage(), e);
    }
    throw new IllegalArgumentException("the body is not a JSON object; send one");
  }

  private HttpReply executions(HttpCall call) {
    Optional<String> key = call.query("key");
    Optional<String> request = call.query("request_id");
    long after = call.query("after_ms").map(Long::parseLong).orElse(0L);
    return HttpReply.json(
        200,
        ledger.json(
            e ->
                key.map(e.key()::equals).orElse(true)
                    && request.map(e.requestId()::equals).orElse(true)
                    && e.epochMillis() >= after));
  }

  private HttpReply setFaults(HttpCall call) {
    FaultJson.apply(body(call), faults);
    return HttpReply.json(200, FaultJson.write(faults));
  }

  private HttpReply clearFaults(HttpCall call) {
    faults.clear();
    return HttpReply.json(200, FaultJson.write(faults));
  }

  private CompletableFuture<HttpReply> guard(
      Port port, HttpCall call, String label, Handler handler, boolean streaming) {
    long latency = latencyNanos(port, call);
    return timer
        .afterNanos(latency)
        .thenCompose(
            arrived -> {
              if (lost(call, label)) {
                return new CompletableFuture<>();
              }
              if (faults.take(Fault.Kind.REFUSE, label).isPresent()) {
                return CompletableFuture.completedFuture(error(503, "refused before execution"));
              }
              return held(label)
                  .thenCompose(free -> run(call, label, handler, streaming))
                  .thenCompose(reply -> timer.afterNanos(latency).thenApply(sent -> reply));
            });
  }

  /** Returns whether the call gets neither effect nor answer. */
  private boolean lost(HttpCall call, String label) {
    faults.countColdCall(label, System.nanoTime());
    if (faults.take(Fault.Kind.OUTAGE, label).isPresent()) {
      call.drop();
      return true;
    }
    Optional<FaultPlan.Met> silence = faults.take(Fault.Kind.SILENCE, label);
    silence.ifPresent(met -> met.ended().thenRun(call::drop));
    return silence.isPresent();
  }

  private CompletableFuture<Void> held(String label) {
    CompletableFuture<Void> stalled =
        faults
            .take(Fault.Kind.STALL, label)
            .map(FaultPlan.Met::ended)
            .orElse(CompletableFuture.completedFuture(null));
    return stalled.thenCompose(free -> delay(Fault.Kind.DELAY_MS, label));
  }

  private CompletableFuture<Void> delay(Fault.Kind kind, String label) {
    double millis = faults.take(kind, label).map(met -> met.fault().value()).orElse(0.0);
    return timer.afterNanos(CommonSettings.nanos(millis));
  }

  private CompletableFuture<HttpReply> run(
      HttpCall call, String label, Handler handler, boolean streaming) {
    Optional<Fault> drop = faults.take(Fault.Kind.DROP_ANSWER, label).map(FaultPlan.Met::fault);
    CompletableFuture<HttpReply> reply = handler.handle(call, drop);
    if (streaming) {
      return reply;
    }
    return reply
        .thenApply(answer -> failed(answer, label))
        .thenCompose(answer -> delay(Fault.Kind.ANSWER_DELAY_MS, label).thenApply(sent -> answer))
        .thenCompose(
            answer -> {
              if (drop.isPresent() || faults.affects(Fault.Kind.OUTAGE, label)) {
                call.drop();
                return new CompletableFuture<>();
              }
              return CompletableFuture.completedFuture(answer);
            });
  }

  private HttpReply failed(HttpReply reply, String label) {
    return faults
        .take(Fault.Kind.FAIL, label)
        .map(met -> (int) met.fault().value())
        .map(status -> error(status < 200 ? 500 : status, "failed after execution"))
        .orElse(reply);
  }

  private long latencyNanos(Port port, HttpCall call) {
    double millis =
        call.header("Caller-Zone")
            .flatMap(zone -> Optional.ofNullable(zoneMillis.get(zone)))
            .orElse(port.oneWayMillis());
    return CommonSettings.nanos(millis);
  }

  /** Returns alternating names and values as a map that keeps their order. */
  static Map<String, Object> ordered(Object... namesAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      map.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return map;
  }

  @Override
  public void close() {
    timer.close();
    servers.forEach(JsonServer::abort);
  }
}
