package org.oriolewell.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.route.Route;
import org.oriolewell.core.route.RouteTable;
import org.oriolewell.core.route.Workspace;
import org.oriolewell.core.stage.PieceCheck;
import org.oriolewell.gateway.RequestDialect.Intent;

/** Matches a caller's request to a route, checks its API key, and starts or refuses it. */
final class RequestIntake {
  /** Retry-After while this gateway isn't ready; about the time to reconnect to the store. */
  private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(500);

  private final GatewayComponents components;
  private final PieceCheck pieceCheck;
  private int openExchanges;
  private final Set<RequestFlow> flows = new LinkedHashSet<>();
  private boolean stopped;

  RequestIntake(GatewayComponents components, PieceCheck pieceCheck) {
    this.components = components;
    this.pieceCheck = pieceCheck;
  }

  /** Returns the number of accepted requests that have not ended. */
  int inFlight() {
    return flows.size();
  }

  /** Returns the number of requests, accepted or not, whose answer has not ended. */
  int openExchanges() {
    return openExchanges;
  }

  /** Ends all accepted requests before the process stops, and refuses all later ones. */
  void endForStop() {
    stopped = true;
    List.copyOf(flows).forEach(RequestFlow::endForStop);
  }

  /** Starts a caller's request, or refuses it with an HTTP status. */
  void accept(CallerExchange exchange) {
    openExchanges++;
    exchange.onEnd(() -> openExchanges--);
    // A request that has been sent is ended by its flow, so that nothing was sent if this fails.
    new RequestGuard(components.loop(), components.log(), "", () -> exchange.endAfterFailure(503))
        .run(() -> startOrRefuse(exchange));
  }

  private void startOrRefuse(CallerExchange exchange) {
    CallerRequest request = exchange.request();
    Intent intent = components.dialect().decode(request.headers());
    if (exchange.detectCallerGone()) {
      components
          .log()
          .event(GatewayEvent.CALLER_GONE)
          .with("request", intent.attemptId())
          .with("reason", "the caller closed its connection before its request was processed")
          .write();
      return;
    }
    if (stopped) {
      refuse(exchange, intent, 503, RequestFlow.STOP_REASON, RequestFlow.STOP_RETRY_AFTER);
      return;
    }
    RouteTable table = components.control().table();
    if (table == null) {
      refuse(exchange, intent, 503, "no configuration", NOT_READY_RETRY_AFTER);
      return;
    }
    boolean fresh = components.control().fresh();
    Optional<Route> route = table.match(intent.host(), request.path());
    if (route.isEmpty()) {
      if (fresh) {
        refuse(exchange, intent, 404, "no route", null);
      } else {
        refuse(
            exchange, intent, 503, "no route in an outdated configuration", NOT_READY_RETRY_AFTER);
      }
      return;
    }
    Workspace workspace = null;
    if (table.needsKey(route.get())) {
      if (!fresh) {
        refuse(exchange, intent, 503, "keys not confirmed", NOT_READY_RETRY_AFTER);
        return;
      }
      String apiKey = intent.apiKey();
      workspace = apiKey == null ? null : table.workspace(apiKey).orElse(null);
      if (workspace == null) {
        refuse(exchange, intent, 401, "unknown key", null);
        return;
      }
    }
    Optional<PieceCheck.Refusal> pieceRefusal =
        pieceCheck.refusal(route.get().stages(), intent.pieceCounts(), intent.pieceKey());
    if (pieceRefusal.isPresent()) {
      refusePieces(exchange, intent, pieceRefusal.get());
      return;
    }
    RequestFlow flow =
        new RequestFlow(components, exchange, intent, route.get(), workspace, table, flows::remove);
    flows.add(flow);
    flow.start();
  }

  /** Refuses a request for good: it can't be served as it is, now or later. */
  private void refusePieces(CallerExchange exchange, Intent intent, PieceCheck.Refusal refusal) {
    refuse(exchange, intent, 400, refusal.reason(), null, refusal.detail());
  }

  private void refuse(
      CallerExchange exchange,
      Intent intent,
      int status,
      String reason,
      @Nullable Duration retryAfter) {
    refuse(exchange, intent, status, reason, retryAfter, "");
  }

  /**
   * Refuses a request.
   *
   * @param detail body of the answer; empty for none
   */
  private void refuse(
      CallerExchange exchange,
      Intent intent,
      int status,
      String reason,
      @Nullable Duration retryAfter,
      String detail) {
    components
        .log()
        .event(GatewayEvent.REFUSED)
        .with("request", intent.attemptId())
        .with("status", status)
        .with("reason", reason)
        .with("detail", detail.isEmpty() ? null : detail)
        .with("host", intent.host())
        .with("path", exchange.request().path())
        .with("view_age_ms", components.control().ageMillis())
        .write();
    components.metrics().requestRefused(reason);
    HttpFields headers = components.dialect().gatewayAnswerHeaders(intent.attemptId(), retryAfter);
    exchange.reply(status, headers, detail.getBytes(StandardCharsets.UTF_8));
  }
}
