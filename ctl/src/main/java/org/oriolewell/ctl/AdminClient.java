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

/** Calls an entry's admin API. */
final class AdminClient implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_ANSWER_BYTES = 16 << 20;

  private final HttpClient client = new HttpClient();
  private final URI entry;
  private final String token;
  private final Duration timeout;
  private final EventLog log;

  /**
   * An answer of the entry.
   *
   * @param status HTTP status
   * @param body JSON body; a missing node if it isn't JSON
   */
  record Answer(int status, JsonNode body) {
    boolean ok() {
      return status == 200;
    }

    String detail() {
      String fallback = "the entry answered with status " + status;
      return body.path("detail").asText(fallback);
    }
  }

  private AdminClient(URI entry, String token, Duration timeout, EventLog log) {
    this.entry = entry;
    this.token = token;
    this.timeout = timeout;
    this.log = log;
  }

  static AdminClient start(URI entry, String token, Duration timeout, EventLog log) {
    AdminClient admin = new AdminClient(entry, token, timeout, log);
    try {
      admin.client.start();
    } catch (Exception e) {
      throw new IllegalStateException("the HTTP client cannot be started", e);
    }
    return admin;
  }

  /**
   * Sends a request below {@code /v1/admin/}.
   *
   * @throws IOException if the entry didn't answer, so that the effect isn't known
   */
  Answer call(String method, String path, @Nullable JsonNode body)
      throws IOException, InterruptedException {
    Request request =
        client
            .newRequest(entry)
            .path("/v1/admin/" + path)
            .method(method)
            .headers(headers -> headers.put("Authorization", "Bearer " + token))
            .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    if (body != null) {
      request.body(
          new StringRequestContent("application/json", body.toString(), StandardCharsets.UTF_8));
    }
    try {
      ContentResponse response =
          new CompletableResponseListener(request, MAX_ANSWER_BYTES).send().get();
      log.event(CtlEvent.REQUEST_ANSWERED)
          .with("path", path)
          .with("status", response.getStatus())
          .write();
      return new Answer(response.getStatus(), json(response.getContent()));
    } catch (ExecutionException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      log.event(CtlEvent.REQUEST_FAILED).with("path", path).cause(cause).write();
      throw new IOException("the entry at " + entry + " did not answer: " + cause, cause);
    }
  }

  private static JsonNode json(byte[] body) {
    try {
      return JSON.readTree(body);
    } catch (IOException e) {
      return JSON.missingNode();
    }
  }

  @Override
  public void close() {
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("the HTTP client cannot be stopped", e);
    }
  }
}
