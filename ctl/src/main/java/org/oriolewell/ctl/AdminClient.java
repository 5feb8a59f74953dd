package org.oriolewell.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.log.EventLog;

/** HTTP client of an entry's admin API. */
final class AdminClient implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_ANSWER_BYTES = 16 << 20;

  private final HttpClient httpClient = new HttpClient();
  private final URI entryUrl;
  private final String bearerToken;
  private final Duration requestTimeout;
  private final EventLog log;

  /**
   * The entry's answer to one request.
   *
   * @param status HTTP status
   * @param body JSON body; a missing node if the body isn't JSON
   */
  record Answer(int status, JsonNode body) {
    /** Returns whether the HTTP status is 200. */
    boolean ok() {
      return status == 200;
    }

    /** Returns the text of the problem document, or one that names the HTTP status. */
    String errorDetail() {
      String defaultDetail = "the entry answered with status " + status;
      return body.path("detail").asText(defaultDetail);
    }
  }

  private AdminClient(URI entryUrl, String bearerToken, Duration requestTimeout, EventLog log) {
    this.entryUrl = entryUrl;
    this.bearerToken = bearerToken;
    this.requestTimeout = requestTimeout;
    this.log = log;
  }

  /** Starts a client; {@code requestTimeout} limits each request. */
  static AdminClient start(
      URI entryUrl, String bearerToken, Duration requestTimeout, EventLog log) {
    AdminClient adminClient = new AdminClient(entryUrl, bearerToken, requestTimeout, log);
    try {
      adminClient.httpClient.start();
    } catch (Exception e) {
      throw new IllegalStateException("the HTTP client cannot be started", e);
    }
    return adminClient;
  }

  /**
   * Sends one request and waits for the answer.
   *
   * @param relativePath path below {@code /v1/admin/}
   * @param body JSON body; null for none
   * @throws IOException if the entry didn't answer, so it is unknown whether the request took
   *     effect
   */
  Answer call(String method, String relativePath, @Nullable JsonNode body)
      throws IOException, InterruptedException {
    Request request =
        httpClient
            .newRequest(entryUrl)
            .path("/v1/admin/" + relativePath)
            .method(method)
            .headers(headers -> headers.put("Authorization", "Bearer " + bearerToken))
            .timeout(requestTimeout.toMillis(), TimeUnit.MILLISECONDS);
    if (body != null) {
      request.body(
          new StringRequestContent("application/json", body.toString(), StandardCharsets.UTF_8));
    }
    try {
      ContentResponse response =
          new CompletableResponseListener(request, MAX_ANSWER_BYTES).send().get();
      log.event(CtlEvent.REQUEST_ANSWERED)
          .with("path", relativePath)
          .with("status", response.getStatus())
          .write();
      return new Answer(response.getStatus(), parseJson(response.getContent()));
    } catch (ExecutionException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      log.event(CtlEvent.REQUEST_FAILED).with("path", relativePath).cause(cause).write();
      throw new IOException("the entry at " + entryUrl + " did not answer: " + cause, cause);
    }
  }

  /** Parses a response body; returns a missing node if it isn't JSON. */
  private static JsonNode parseJson(byte[] body) {
    try {
      return JSON.readTree(body);
    } catch (IOException e) {
      return JSON.missingNode();
    }
  }

  @Override
  public void close() {
    try {
      httpClient.stop();
    } catch (Exception e) {
      throw new IllegalStateException("the HTTP client cannot be stopped", e);
    }
  }
}
