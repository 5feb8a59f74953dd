package org.oriolewell.loadtool;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.HttpClient;

/** Calls stand-ins in turn without the system between, for comparison. */
final class DirectTarget implements Target {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient client;
  private final List<URI> upstreams;
  private final AtomicLong next = new AtomicLong();

  DirectTarget(HttpClient client, List<URI> upstreams) {
    this.client = client;
    this.upstreams = List.copyOf(upstreams);
  }

  @Override
  public CompletableFuture<CallResult> send(Arrival arrival, String key, long remainingMillis) {
    Workload.Direct direct = arrival.traffic().direct();
    if (direct == null) {
      return CompletableFuture.completedFuture(
          CallResult.without(Outcome.FAILED, "no-direct-call"));
    }
    long number = next.getAndIncrement();
    URI upstream = upstreams.get((int) Math.floorMod(number, (long) upstreams.size()));
    String input = RequestContent.input(arrival);
    ObjectNode body = JSON.createObjectNode().put("request_id", "direct-" + number);
    String path =
        switch (direct.kind()) {
          case "engine" -> {
            body.put("prompt", input)
                .put("max_tokens", direct.maxTokens())
                .put("priority", Math.max(0, arrival.traffic().priority()))
                .put("model", direct.operation());
            yield "/v1/generate";
          }
          case "pool" -> {
            body.put("operation", direct.operation()).put("input", input);
            yield "/v1/process";
          }
          default -> {
            body.put("key", key).put("input", input);
            yield "/v1/operations/" + direct.operation();
          }
        };
    return HttpExchange.post(client, upstream.resolve(path), body.toString(), remainingMillis);
  }
}
