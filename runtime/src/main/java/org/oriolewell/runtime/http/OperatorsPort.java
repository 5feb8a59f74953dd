package org.oriolewell.runtime.http;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Routes that every program offers on its operators' port: health, readiness, metrics, status. */
public final class OperatorsPort {
  private OperatorsPort() {}

  /**
   * Adds the common routes to a server.
   *
   * @param ready whether the program accepts work
   * @param status current status, written as JSON
   */
  public static JsonServer addRoutes(
      JsonServer server,
      PrometheusRegistry registry,
      BooleanSupplier ready,
      Supplier<Map<String, Object>> status) {
    return server
        .route("GET", "/health", call -> done(HttpReply.text(200, "ok\n")))
        .route(
            "GET",
            "/ready",
            call ->
                done(
                    ready.getAsBoolean()
                        ? HttpReply.text(200, "ready\n")
                        : HttpReply.text(503, "not ready\n")))
        .route("GET", "/metrics", call -> done(metrics(registry)))
        .route("GET", "/v1/status", call -> done(HttpReply.json(200, status.get())));
  }

  private static CompletableFuture<HttpReply> done(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }

  private static HttpReply metrics(PrometheusRegistry registry) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    try {
      writer.write(bytes, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return new HttpReply(200, writer.getContentType(), Map.of(), bytes.toByteArray());
  }
}
