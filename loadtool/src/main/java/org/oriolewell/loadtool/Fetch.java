package org.oriolewell.loadtool;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** Reads resources after a run. */
final class Fetch {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private Fetch() {}

  /**
   * Returns the body of a resource.
   *
   * @throws IOException if it can't be read
   */
  static String text(URI uri) throws IOException {
    try {
      HttpResponse<String> response =
          CLIENT.send(
              HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(), BodyHandlers.ofString());
      if (response.statusCode() != 200) {
        throw new IOException(uri + " answered " + response.statusCode());
      }
      return response.body();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while reading " + uri, e);
    }
  }
}
