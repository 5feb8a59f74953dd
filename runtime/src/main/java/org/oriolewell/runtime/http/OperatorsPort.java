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

/**
 * Routes that every program serves on its operators' port: liveness, readiness, metrics and status.
 */
public final class OperatorsPort {
  private OperatorsPort() {}

  /**
   * Adds the routes to the server of an operators' port.
   *
   * @param registry metrics to expose
   * @param ready whether the program accepts work
   * @param status supplies the current status, which is written as JSON
   * @return the server
   */
  public static JsonServer addRoutes(
      JsonServer server,
      PrometheusRegistry registry,
      BooleanSupplier ready,
      Supplier<Map<String, Object>> status) {
    return server
        .route("GET", "/health", call -> completed(HttpReply.text(200, "ok\n")))
        .route(
            "GET",
            "/ready",
            call ->
                completed(
                    ready.getAsBoolean()
                        ? HttpReply.text(200, "ready\n")
                        : HttpReply.text(503, "not ready\n")))
        .route("GET", "/metrics", call -> completed(metrics(registry)))
        .route("GET", "/v1/status", call -> completed(HttpReply.json(200, status.get())));
  }

  private static CompletableFuture<HttpReply> completed(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }

  private static HttpReply metrics(PrometheusRegistry registry) {
    ByteArrayOutputStream exposition = new ByteArrayOutputStream();
    PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    try {
      writer.write(exposition, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return new HttpReply(200, writer.getContentType(), Map.of(), exposition.toByteArray());
  }
}
