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

/** HTTP client of the platform's host list. */
public final class HttpHostList implements HostList {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_RESPONSE_BYTES = 4 << 20;

  private final HttpClient client;
  private final URI baseUrl;
  private final Duration requestTimeout;

  private HttpHostList(HttpClient client, URI baseUrl, Duration requestTimeout) {
    this.client = client;
    this.baseUrl = baseUrl;
    this.requestTimeout = requestTimeout;
  }

  /**
   * Returns a client of a host list.
   *
   * @param client started HTTP client
   * @param baseUrl base URL of the host list, such as {@code http://127.0.0.1:7100}
   * @param requestTimeout time after which a request fails
   */
  public static HttpHostList of(HttpClient client, URI baseUrl, Duration requestTimeout) {
    return new HttpHostList(client, baseUrl, requestTimeout);
  }

  @Override
  public CompletableFuture<List<Host>> hosts() {
    CompletableFuture<List<Host>> hosts = new CompletableFuture<>();
    client
        .newRequest(baseUrl)
        .path("/v1/hosts")
        .timeout(requestTimeout.toMillis(), TimeUnit.MILLISECONDS)
        .send(
            new BufferingResponseListener(MAX_RESPONSE_BYTES) {
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
                  hosts.complete(parseHosts(JSON.readTree(getContent())));
                } catch (IOException | RuntimeException e) {
                  hosts.completeExceptionally(e);
                }
              }
            });
    return hosts;
  }

  private static List<Host> parseHosts(JsonNode listDocument) {
    List<Host> hosts = new ArrayList<>();
    for (JsonNode node : listDocument.path("hosts")) {
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
              parseState(node.path("state").asText("live"))));
    }
    return List.copyOf(hosts);
  }

  /** Reads an unknown state as live, since one unreadable entry must not make the list unusable. */
  private static State parseState(String text) {
    return text.toUpperCase(Locale.ROOT).equals(State.LEAVING.name()) ? State.LEAVING : State.LIVE;
  }
}
