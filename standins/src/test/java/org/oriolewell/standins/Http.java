package org.oriolewell.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Calls of the tests over HTTP. */
final class Http {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private Http() {}

  static CompletableFuture<HttpResponse<String>> send(
      Standin standin, String method, String path, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(standin.uri().resolve(path))
            .timeout(Duration.ofSeconds(20))
            .method(method, BodyPublishers.ofString(body))
            .build();
    return CLIENT.sendAsync(request, BodyHandlers.ofString());
  }

  static HttpResponse<String> post(Standin standin, String path, String body) {
    return send(standin, "POST", path, body).join();
  }

  static JsonNode get(Standin standin, String path) {
    return json(send(standin, "GET", path, "").join());
  }

  static JsonNode json(HttpResponse<String> response) {
    try {
      return JSON.readTree(response.body());
    } catch (IOException e) {
      throw new IllegalStateException(response.body(), e);
    }
  }
}
