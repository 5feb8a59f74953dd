package org.oriolewell.loadtool;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.HttpClient;

/** Sends requests to entries in turn. */
final class EntryTarget implements Target {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient client;
  private final List<URI> entries;
  private final AtomicLong next = new AtomicLong();

  EntryTarget(HttpClient client, List<URI> entries) {
    this.client = client;
    this.entries = List.copyOf(entries);
  }

  @Override
  public CompletableFuture<CallResult> send(Arrival arrival, String key, long remainingMillis) {
    Workload.Traffic traffic = arrival.traffic();
    ObjectNode body =
        JSON.createObjectNode()
            .put("pipeline", traffic.pipeline())
            .put("workspace", traffic.workspace())
            .put("deadline_ms", remainingMillis)
            .put("input", RequestContent.input(arrival));
    if (traffic.priority() >= 0) {
      body.put("priority", traffic.priority());
    }
    if (!key.isEmpty()) {
      body.put("idempotency_key", key);
    }
    if (traffic.stream()) {
      body.put("stream", true);
    }
    return HttpExchange.post(client, entry("/v1/requests"), body.toString(), remainingMillis);
  }

  /** Settles the key of a request whose outcome isn't known. */
  CompletableFuture<CallResult> settle(Arrival arrival, String key, long timeoutMillis) {
    ObjectNode body =
        JSON.createObjectNode()
            .put("workspace", arrival.traffic().workspace())
            .put("pipeline", arrival.traffic().pipeline())
            .put("idempotency_key", key);
    return HttpExchange.post(client, entry("/v1/calls/settle"), body.toString(), timeoutMillis);
  }

  private URI entry(String path) {
    return entries
        .get((int) Math.floorMod(next.getAndIncrement(), (long) entries.size()))
        .resolve(path);
  }
}
