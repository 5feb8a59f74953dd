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

/** A member of a stage pool: an encoder, retriever or reranker. */
public final class PoolStandin extends BaseStandin {
  private static final Setting<Integer> CONCURRENCY =
      Setting.integer("concurrency", 8, 1, 100_000, "Number of calls that run at a time.");
  private static final Setting<Integer> QUEUE =
      Setting.integer(
          "queue", 256, 0, 1_000_000, "Number of calls that wait; more are refused with 503.");
  private static final Setting<Integer> OUTPUT_ITEMS =
      Setting.integer("output.items", 8, 1, 10_000, "Length of a vector or list in the output.");

  /** Settings of this kind. */
  public static final SettingsSpec SPEC =
      CommonSettings.spec(
          "pool",
          CONCURRENCY,
          QUEUE,
          OUTPUT_ITEMS,
          ServiceTime.DISTRIBUTION,
          ServiceTime.MEDIAN_MILLIS,
          ServiceTime.SIGMA,
          ServiceTime.SEED);

  private final ServiceTime times;
  private final WorkSlots slots;
  private final int outputItems;

  private PoolStandin(Settings settings, InstantSource clock) {
    super("pool", settings, clock);
    times = ServiceTime.of(settings);
    outputItems = settings.value(OUTPUT_ITEMS);
    slots = new WorkSlots(server.timer, settings.value(CONCURRENCY), settings.value(QUEUE));
    server
        .guarded("POST", "/v1/process", PoolStandin::label, this::process)
        .start(() -> Map.of("running", slots.busy(), "queued", slots.queued()));
    server.faults.onBurst(fault -> slots.run(times::nextNanos, () -> {}));
  }

  /** Starts a pool member. */
  public static PoolStandin start(Settings settings, InstantSource clock) {
    return new PoolStandin(settings, clock);
  }

  /** Starts a pool member with the system's clock and settings in TOML, for tests. */
  public static PoolStandin start(String toml) {
    return start(CommonSettings.parse(SPEC, toml), InstantSource.system());
  }

  private static String label(HttpCall call) {
    return "process " + StandinServer.body(call).path("operation").asText("");
  }

  private CompletableFuture<HttpReply> process(HttpCall call, Optional<Fault> drop) {
    JsonNode body = StandinServer.body(call);
    String operation = body.path("operation").asText("");
    String requestId = body.path("request_id").asText("");
    return slots
        .run(
            () -> (long) (times.nextNanos() * server.faults.slowFactor("process " + operation)),
            () -> server.ledger.add(requestId, operation, ""))
        .thenApply(
            done ->
                HttpReply.json(
                    200,
                    Map.of(
                        "output",
                        PoolOutput.of(operation, body.path("input").toString(), outputItems))))
        .exceptionally(ServiceStandin::busy);
  }
}
