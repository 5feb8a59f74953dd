package org.oriolewell.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.settings.Settings;
import org.oriolewell.runtime.settings.SettingsSpec;

/**
 * A model engine with continuous batching, a prefix cache, priorities, resume and cancel, late
 * cache events, a lagging load report and orders.
 */
public final class EngineStandin extends BaseStandin {
  /** Settings of this kind. */
  public static final SettingsSpec SPEC = EngineSettings.SPEC;

  private static final int BURST_TOKENS = 32;
  private static final int DEFAULT_MAX_TOKENS = 64;
  private static final Duration MIN_REPORT_PERIOD = Duration.ofMillis(10);

  private final EngineBatch batch;
  private final EngineModels models;
  private final EngineOrders orders;
  private final CacheEvents cacheEvents;
  private final AtomicLong arrivals = new AtomicLong();
  private volatile Map<String, Object> loadReport;

  private EngineStandin(Settings settings, InstantSource clock) {
    super("engine", settings, clock);
    cacheEvents =
        new CacheEvents(
            clock,
            settings.value(EngineSettings.CACHE_EVENT_LAG),
            settings.value(EngineSettings.CACHE_EVENT_LOSS),
            settings.value(EngineSettings.SEED));
    PrefixCache cache =
        new PrefixCache(settings.value(EngineSettings.CACHE_BLOCKS), cacheEvents::add);
    batch = new EngineBatch(server.timer, server.faults, cache, settings);
    models =
        new EngineModels(
            settings.value(EngineSettings.MODELS),
            settings.value(EngineSettings.ROLE),
            settings.value(EngineSettings.CHECKS_FENCING));
    orders = new EngineOrders(server, models, batch, settings);
    loadReport = report();
    server.faults.onBurst(fault -> addBurst());
    startReports(settings.value(EngineSettings.LOAD_LAG));
    server
        .streaming("POST", "/v1/generate", call -> "generate", this::generate)
        .guarded("POST", "/v1/cancel", call -> "cancel", this::cancel)
        .guarded("GET", "/v1/load", call -> "get load", (call, drop) -> json(loadReport))
        .guarded("GET", "/v1/cache-events", call -> "get cache-events", this::cacheEvents)
        .guarded("POST", "/v1/orders", call -> "orders", orders::take)
        .guarded("GET", "/v1/state", call -> "get state", (call, drop) -> json(models.json()))
        .start(() -> loadReport);
  }

  /** Starts an engine. */
  public static EngineStandin start(Settings settings, InstantSource clock) {
    return new EngineStandin(settings, clock);
  }

  /** Starts an engine with the system's clock and settings in TOML, for tests. */
  public static EngineStandin start(String toml) {
    return start(CommonSettings.parse(SPEC, toml), InstantSource.system());
  }

  private static CompletableFuture<HttpReply> json(Object value) {
    return CompletableFuture.completedFuture(HttpReply.json(200, value));
  }

  private static CompletableFuture<HttpReply> refuse(int status, String message) {
    return CompletableFuture.completedFuture(StandinServer.error(status, message));
  }

  /** Takes a report each {@code lag}, so that the report shown is up to that old. */
  private void startReports(Duration lag) {
    server.timer.every(
        lag.compareTo(MIN_REPORT_PERIOD) < 0 ? MIN_REPORT_PERIOD : lag,
        () -> loadReport = report());
  }

  private Map<String, Object> report() {
    Map<String, Object> report = batch.load();
    report.put("as_of_ms", clock.millis());
    return report;
  }

  private void addBurst() {
    long number = arrivals.incrementAndGet();
    String name = "burst-" + number;
    batch.add(new Sequence(name, name, 0, number, 0, BURST_TOKENS, null));
  }

  private CompletableFuture<HttpReply> generate(HttpCall call, Optional<Fault> drop) {
    JsonNode body = StandinServer.body(call);
    String model = body.path("model").asText("");
    int resumeFrom = body.path("resume_from").asInt(0);
    int maxTokens = body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
    if (resumeFrom < 0 || maxTokens < 0) {
      return refuse(400, "resume_from and max_tokens must not be negative");
    }
    if (!models.generates()) {
      return refuse(503, "the engine's role is not generate");
    }
    if (!models.serves(model)) {
      return refuse(503, "model " + model + " is not loaded");
    }
    String requestId = body.path("request_id").asText("");
    GenerateStream stream = new GenerateStream(call, drop.map(f -> (int) f.value()));
    Sequence sequence =
        new Sequence(
            requestId,
            body.path("prompt").asText(""),
            body.path("priority").asInt(0),
            arrivals.incrementAndGet(),
            resumeFrom,
            Math.max(resumeFrom, maxTokens),
            stream);
    stream.onFailure(sequence::cancel);
    if (!batch.add(sequence)) {
      return refuse(503, "the queue is full; the call did not run");
    }
    server.ledger.add(requestId, resumeFrom == 0 ? "generate" : "resume", "");
    return new CompletableFuture<>();
  }

  private CompletableFuture<HttpReply> cancel(HttpCall call, Optional<Fault> drop) {
    int found = batch.cancel(StandinServer.body(call).path("request_id").asText(""));
    return json(Map.of("cancelled", found));
  }

  private CompletableFuture<HttpReply> cacheEvents(HttpCall call, Optional<Fault> drop) {
    return json(cacheEvents.json(call.query("after").map(Long::parseLong).orElse(0L)));
  }
}
