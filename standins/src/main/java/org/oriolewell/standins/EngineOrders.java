package org.oriolewell.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.settings.Settings;

/** Takes the orders of an engine: load, unload and role. */
final class EngineOrders {
  private final StandinServer server;
  private final EngineModels models;
  private final EngineBatch batch;
  private final long loadNanos;
  private final String weights;
  private final HttpClient client = HttpClient.newHttpClient();

  EngineOrders(StandinServer server, EngineModels models, EngineBatch batch, Settings settings) {
    this.server = server;
    this.models = models;
    this.batch = batch;
    loadNanos = settings.value(EngineSettings.LOAD_TIME).toNanos();
    weights = settings.value(EngineSettings.WEIGHTS);
  }

  /** Runs an order and answers with the state after it; a load goes on afterwards. */
  CompletableFuture<HttpReply> take(HttpCall call, Optional<Fault> drop) {
    JsonNode order = StandinServer.body(call);
    String verb = order.path("order").asText("");
    if (!verb.equals("load") && !verb.equals("unload") && !verb.equals("role")) {
      return CompletableFuture.completedFuture(
          StandinServer.error(400, "order must be one of load, unload, role"));
    }
    long fencing = order.path("fencing").asLong(0);
    try {
      models.check(fencing, order.path("expect"));
    } catch (EngineModels.OrderException e) {
      return CompletableFuture.completedFuture(refused(verb, fencing, e.refusal));
    }
    server
        .log
        .event(StandinEvent.ORDER_ACCEPTED)
        .with("order", verb)
        .with("fencing", fencing)
        .write();
    server.ledger.add("", "order " + verb, "");
    run(verb, order);
    return CompletableFuture.completedFuture(HttpReply.json(200, models.json()));
  }

  private HttpReply refused(String verb, long fencing, EngineModels.Refusal refusal) {
    String reason = refusal.name().toLowerCase(Locale.ROOT);
    server
        .log
        .event(StandinEvent.ORDER_REFUSED)
        .with("order", verb)
        .with("fencing", fencing)
        .with("reason", reason)
        .write();
    return HttpReply.json(409, StandinServer.ordered("error", reason, "state", models.json()));
  }

  private void run(String verb, JsonNode order) {
    String model = order.path("model").asText("");
    String version = order.path("version").asText("");
    String name = EngineModels.name(model, version, order.path("adapter").asText(""));
    switch (verb) {
      case "load" -> load(model, version, name);
      case "unload" -> {
        models.unload(name);
        batch.clearCache();
      }
      default -> models.role(order.path("role").asText(""));
    }
  }

  private void load(String model, String version, String name) {
    if (!models.startLoading(name)) {
      return;
    }
    CompletableFuture<?> loaded =
        weights.isEmpty()
            ? server.timer.afterNanos((long) (loadNanos * server.faults.slowFactor("orders")))
            : fetch(model, version);
    loaded.whenComplete(
        (done, failure) -> {
          models.endLoading(name, failure == null);
          if (failure != null) {
            server.log.event(StandinEvent.LOAD_FAILED).with("model", name).cause(failure).write();
          }
        });
  }

  private CompletableFuture<?> fetch(String model, String version) {
    URI uri = URI.create(weights + "/v1/weights/" + model + "/" + version);
    return client
        .sendAsync(HttpRequest.newBuilder(uri).build(), BodyHandlers.discarding())
        .thenAccept(
            response -> {
              if (response.statusCode() != 200) {
                throw new IllegalStateException("status " + response.statusCode());
              }
            });
  }
}
