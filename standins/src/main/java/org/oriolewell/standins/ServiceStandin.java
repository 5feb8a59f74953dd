package org.oriolewell.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.Settings;
import org.oriolewell.runtime.settings.SettingsSpec;

/**
 * A plain service whose operations are non-idempotent: each call takes effect again, whatever its
 * key, so that a repeated call shows in the ledger.
 */
public final class ServiceStandin extends BaseStandin {
  private static final Setting<Integer> CONCURRENCY =
      Setting.integer("concurrency", 16, 1, 100_000, "Number of calls that run at a time.");
  private static final Setting<Integer> QUEUE =
      Setting.integer(
          "queue", 256, 0, 1_000_000, "Number of calls that wait; more are refused with 503.");

  /** Settings of this kind. */
  public static final SettingsSpec SPEC =
      CommonSettings.spec(
          "service",
          CONCURRENCY,
          QUEUE,
          ServiceTime.DISTRIBUTION,
          ServiceTime.MEDIAN_MILLIS,
          ServiceTime.SIGMA,
          ServiceTime.SEED);

  private final ServiceTime times;
  private final WorkSlots slots;

  private ServiceStandin(Settings settings, InstantSource clock) {
    super("service", settings, clock);
    times = ServiceTime.of(settings);
    slots = new WorkSlots(server.timer, settings.value(CONCURRENCY), settings.value(QUEUE));
    server
        .guarded(
            "POST", "/v1/operations/{name}", call -> "operation " + call.path("name"), this::run)
        .start(() -> Map.of("running", slots.busy(), "queued", slots.queued()));
    server.faults.onBurst(fault -> slots.run(times::nextNanos, () -> {}));
  }

  /** Starts a service. */
  public static ServiceStandin start(Settings settings, InstantSource clock) {
    return new ServiceStandin(settings, clock);
  }

  /** Starts a service with the system's clock and settings in TOML, for tests. */
  public static ServiceStandin start(String toml) {
    return start(CommonSettings.parse(SPEC, toml), InstantSource.system());
  }

  private CompletableFuture<HttpReply> run(HttpCall call, Optional<Fault> drop) {
    JsonNode body = StandinServer.body(call);
    String name = call.path("name");
    String key = body.path("key").asText("");
    String requestId = body.path("request_id").asText("");
    CompletableFuture<Execution> effect = new CompletableFuture<>();
    return slots
        .run(
            () -> (long) (times.nextNanos() * server.faults.slowFactor("operation " + name)),
            () -> effect.complete(server.ledger.add(requestId, name, key)))
        .thenApply(done -> output(effect.join(), body.path("input")))
        .exceptionally(ServiceStandin::busy);
  }

  private HttpReply output(Execution execution, JsonNode input) {
    return HttpReply.json(
        200,
        Map.of(
            "output",
            StandinServer.ordered(
                "operation", execution.operation(),
                "key", execution.key(),
                "times", execution.times(),
                "input_hash", Hashes.hex(Hashes.of(input.toString())))));
  }

  /** Returns the answer to a call that didn't run since the queue is full. */
  static HttpReply busy(Throwable failure) {
    return StandinServer.error(503, "the queue is full; the call did not run");
  }
}
