package org.oriolewell.runtime.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;

/** Client of the platform's host list over HTTP. */
public final class HttpHostList implements HostList {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_LIST_BYTES = 4 << 20;

  private final HttpClient client;
  private final URI base;
  private final Duration timeout;

  private HttpHostList(HttpClient client, URI base, Duration timeout) {
    this.client = client;
    this.base = base;
    this.timeout = timeout;
  }

  /** Returns a client; the HTTP client must be started. */
  public static HttpHostList of(HttpClient client, URI base, Duration timeout) {
    return new HttpHostList(client, base, timeout);
  }

  @Override
  public CompletableFuture<List<Host>> hosts() {
    CompletableFuture<List<Host>> hosts = new CompletableFuture<>();
    client
        .newRequest(base)
        .path("/v1/hosts")
        .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .send(
            new BufferingResponseListener(MAX_LIST_BYTES) {
              @Override
              public void onComplete(Result result) {
                if (result.isFailed()) {
                  hosts.completeExceptionally(result.getFailure());
                  return;
                }
                try {
                  if (result.getResponse().getStatus() != 200) {
                    throw new IOException(
                        "the host list answered " + result.getResponse().getStatus());
                  }
                  hosts.complete(parse(JSON.readTree(getContent())));
                } catch (IOException | RuntimeException e) {
                  hosts.completeExceptionally(e);
                }
              }
            });
    return hosts;
  }

  private static List<Host> parse(JsonNode root) {
    List<Host> hosts = new ArrayList<>();
    for (JsonNode node : root.path("hosts")) {
      hosts.add(
          new Host(
              node.path("host").asText(),
              node.path("address").asText(),
              node.path("port").asInt(),
              node.path("kind").asText(),
              node.path("pool").asText(),
              node.path("zone").asText(),
              node.path("region").asText(),
              node.path("firm").asText(),
              state(node.path("state").asText("live"))));
    }
    return List.copyOf(hosts);
  }

  /** An unknown state counts as live, since one odd entry must not make the whole list useless. */
  private static State state(String text) {
    return text.toUpperCase(Locale.ROOT).equals(State.LEAVING.name()) ? State.LEAVING : State.LIVE;
  }
}
