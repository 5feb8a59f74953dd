package org.oriolewell.runtime.platform;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;

/** HTTP client of the platform's key-value service. */
public final class HttpKeyValueStore implements KeyValueStore {
  private static final int MAX_VALUE_BYTES = 1 << 20;
  private static final String REVISION_HEADER = "Revision";

  private final HttpClient client;
  private final URI baseUrl;
  private final Duration timeout;

  private HttpKeyValueStore(HttpClient client, URI baseUrl, Duration timeout) {
    this.client = client;
    this.baseUrl = baseUrl;
    this.timeout = timeout;
  }

  /**
   * Returns a client of a key-value service.
   *
   * @param client a started HTTP client
   * @param baseUrl base URL of the service, such as {@code http://127.0.0.1:7000}
   * @param timeout time after which a request without an answer fails
   */
  public static HttpKeyValueStore of(HttpClient client, URI baseUrl, Duration timeout) {
    return new HttpKeyValueStore(client, baseUrl, timeout);
  }

  @Override
  public CompletableFuture<Optional<Entry>> get(String key) {
    return send(request(key).method("GET"), timeout).thenCompose(answer -> entryOf(key, answer));
  }

  @Override
  public CompletableFuture<Optional<Long>> compareAndSet(
      String key, long expectedRevision, byte[] value) {
    Request request =
        request(key)
            .method("PUT")
            .headers(
                requestHeaders ->
                    requestHeaders.put("Expected-Revision", Long.toString(expectedRevision)))
            .body(new BytesRequestContent("application/octet-stream", value));
    return send(request, timeout)
        .thenCompose(
            answer ->
                switch (answer.status()) {
                  case 200 -> CompletableFuture.completedFuture(Optional.of(answer.revision()));
                  case 409 -> CompletableFuture.completedFuture(Optional.empty());
                  default -> failedAsUnavailable(key, answer.status());
                });
  }

  @Override
  public CompletableFuture<Optional<Entry>> watch(
      String key, long afterRevision, Duration waitTime) {
    Request request =
        request(key)
            .method("GET")
            .param("after", Long.toString(afterRevision))
            .param("timeout_ms", Long.toString(waitTime.toMillis()));
    return send(request, waitTime.plus(timeout)).thenCompose(answer -> entryOf(key, answer));
  }

  private Request request(String key) {
    return client.newRequest(baseUrl).path("/v1/kv/" + key);
  }

  private static CompletableFuture<Optional<Entry>> entryOf(String key, StoreResponse answer) {
    return switch (answer.status()) {
      case 200 ->
          CompletableFuture.completedFuture(
              Optional.of(new Entry(answer.revision(), answer.body())));
      case 304, 404 -> CompletableFuture.completedFuture(Optional.empty());
      default -> failedAsUnavailable(key, answer.status());
    };
  }

  private static <T> CompletableFuture<T> failedAsUnavailable(String key, int status) {
    return CompletableFuture.failedFuture(
        new StoreUnavailableException(
            "the key-value service answered "
                + status
                + " for key "
                + key
                + "; check the service"));
  }

  private record StoreResponse(int status, long revision, byte[] body) {}

  private CompletableFuture<StoreResponse> send(Request request, Duration requestTimeout) {
    CompletableFuture<StoreResponse> answer = new CompletableFuture<>();
    request
        .timeout(requestTimeout.toMillis(), TimeUnit.MILLISECONDS)
        .send(
            new BufferingResponseListener(MAX_VALUE_BYTES) {
              @Override
              public void onComplete(Result result) {
                if (result.isFailed()) {
                  answer.completeExceptionally(
                      new StoreUnavailableException(
                          "the key-value service at "
                              + baseUrl
                              + " did not answer; check the service",
                          result.getFailure()));
                  return;
                }
                Response response = result.getResponse();
                String revision = response.getHeaders().get(REVISION_HEADER);
                byte[] body = getContent();
                answer.complete(
                    new StoreResponse(
                        response.getStatus(),
                        revision == null ? 0 : Long.parseLong(revision),
                        body == null ? new byte[0] : body));
              }
            });
    return answer;
  }
}
