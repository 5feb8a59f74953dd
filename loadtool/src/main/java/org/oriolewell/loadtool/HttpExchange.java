package org.oriolewell.loadtool;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.jspecify.annotations.Nullable;

/** One HTTP call whose answer is decoded while it arrives. */
final class HttpExchange {
  private static final long GRACE_MILLIS = 2000;

  private final CompletableFuture<CallResult> result = new CompletableFuture<>();
  private @Nullable AnswerDecoder decoder;

  private HttpExchange() {}

  /** Sends JSON by POST; the call is given up a while after its deadline. */
  static CompletableFuture<CallResult> post(
      HttpClient client, URI uri, String json, long remainingMillis) {
    HttpExchange exchange = new HttpExchange();
    Request request =
        client
            .newRequest(uri)
            .method("POST")
            .timeout(remainingMillis + GRACE_MILLIS, TimeUnit.MILLISECONDS)
            .body(
                new BytesRequestContent("application/json", json.getBytes(StandardCharsets.UTF_8)))
            .onResponseHeaders(
                response -> {
                  String type = response.getHeaders().get("Content-Type");
                  exchange.decoder = new AnswerDecoder(type == null ? "" : type);
                })
            .onResponseContent(
                (response, part) -> exchange.decoder().accept(part, System.nanoTime()));
    request.send(exchange::complete);
    return exchange.result;
  }

  private AnswerDecoder decoder() {
    AnswerDecoder current = decoder;
    return current == null ? new AnswerDecoder("") : current;
  }

  private void complete(Result end) {
    int status = end.getResponse() == null ? 0 : end.getResponse().getStatus();
    result.complete(decoder().finish(status, end.getFailure()));
  }
}
