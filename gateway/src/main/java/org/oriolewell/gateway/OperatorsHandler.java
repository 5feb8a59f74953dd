package org.oriolewell.gateway;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.oriolewell.core.route.CallerLimits;

/** Serves the readiness check and the metrics on the operators' port. */
final class OperatorsHandler implements CallerConnection.Handler {
  private static final CallerLimits OPERATOR_LIMITS =
      new CallerLimits(16 << 10, 0, Duration.ofSeconds(5), Duration.ofSeconds(60));
  private static final String METRICS_PATH = "/metrics";

  private final String readyPath;
  private final BooleanSupplier ready;
  private final PrometheusRegistry registry;
  private final Runnable beforeScrape;

  OperatorsHandler(
      String readyPath, BooleanSupplier ready, PrometheusRegistry registry, Runnable beforeScrape) {
    this.readyPath = readyPath;
    this.ready = ready;
    this.registry = registry;
    this.beforeScrape = beforeScrape;
  }

  @Override
  public void onRequest(CallerExchange exchange) {
    String path = exchange.request().path();
    if (path.equals(readyPath)) {
      boolean isReady = ready.getAsBoolean();
      reply(exchange, isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n");
    } else if (path.equals(METRICS_PATH)) {
      beforeScrape.run();
      reply(exchange, 200, PrometheusTextFormatWriter.CONTENT_TYPE, scrape());
    } else {
      reply(exchange, 404, "text/plain", "the paths are " + readyPath + " and /metrics\n");
    }
  }

  private static void reply(CallerExchange exchange, int status, String contentType, String text) {
    exchange.reply(
        status,
        HttpFields.build().add(HttpHeader.CONTENT_TYPE, contentType),
        text.getBytes(StandardCharsets.UTF_8));
  }

  private String scrape() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(bytes, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  @Override
  public CallerLimits limits() {
    return OPERATOR_LIMITS;
  }

  @Override
  public boolean stopping() {
    return false;
  }

  @Override
  public void onOpened(CallerConnection connection) {}

  @Override
  public void onClosed(CallerConnection connection) {}
}
