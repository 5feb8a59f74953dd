package org.oriolewell.gateway;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.route.Route;
import org.oriolewell.core.route.RouteTable;
import org.oriolewell.core.route.Workspace;
import org.oriolewell.gateway.RequestDialect.Intent;

/** Checks a caller's request against the configuration and starts it or refuses it. */
final class RequestIntake {
  /** Retry-After while this node can't serve; the time in which a lost store is regained. */
  private static final Duration NOT_READY = Duration.ofMillis(500);

  private static final byte[] EMPTY = new byte[0];

  private final Services services;
  private int inFlight;

  RequestIntake(Services services) {
    this.services = services;
  }

  /** Returns the number of requests in progress. */
  int inFlight() {
    return inFlight;
  }

  /** Takes a request. */
  void accept(CallerExchange exchange) {
    CallerRequest request = exchange.request();
    Intent intent = services.dialect().decode(request.headers());
    RouteTable table = services.control().table();
    if (table == null) {
      refuse(exchange, intent, 503, "no configuration", NOT_READY);
      return;
    }
    boolean fresh = services.control().fresh();
    Optional<Route> route = table.match(intent.host(), request.path());
    if (route.isEmpty()) {
      if (fresh) {
        refuse(exchange, intent, 404, "no route", null);
      } else {
        refuse(exchange, intent, 503, "no route in an outdated configuration", NOT_READY);
      }
      return;
    }
    Workspace workspace = null;
    if (table.needsKey(route.get())) {
      if (!fresh) {
        refuse(exchange, intent, 503, "keys not confirmed", NOT_READY);
        return;
      }
      String key = intent.apiKey();
      workspace = key == null ? null : table.workspace(key).orElse(null);
      if (workspace == null) {
        refuse(exchange, intent, 401, "unknown key", null);
        return;
      }
    }
    if (intent.pieceCounts().size() != route.get().stages().size()
        && !intent.pieceCounts().isEmpty()) {
      refuse(exchange, intent, 400, "piece counts do not fit the route's stages", null);
      return;
    }
    inFlight++;
    new RequestFlow(services, exchange, intent, route.get(), workspace, table, () -> inFlight--)
        .start();
  }

  private void refuse(
      CallerExchange exchange,
      Intent intent,
      int status,
      String reason,
      @Nullable Duration retryAfter) {
    services
        .log()
        .event(GatewayEvent.REFUSED)
        .with("request", intent.attemptId())
        .with("status", status)
        .with("reason", reason)
        .with("host", intent.host())
        .with("path", exchange.request().path())
        .with("view_age_ms", services.control().ageMillis())
        .write();
    services.metrics().refused(reason);
    HttpFields headers = services.dialect().gatewayAnswerHeaders(intent.attemptId(), retryAfter);
    exchange.reply(status, headers, EMPTY);
  }
}
