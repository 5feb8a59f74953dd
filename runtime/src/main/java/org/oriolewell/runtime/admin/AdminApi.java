package org.oriolewell.runtime.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.ConfigJson;
import org.oriolewell.runtime.config.ConfigService;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.http.JsonServer;
import org.oriolewell.runtime.log.EventLog;

/**
 * The HTTP API for operators under {@code /v1/admin}. docs/operators.md describes the routes.
 *
 * <p>Example, in the entry: {@code AdminApi.of(config, exchange, tokens, clock,
 * log).addRoutes(operatorsServer)}.
 */
public final class AdminApi {
  private static final String BEARER_PREFIX = "Bearer ";

  private final ConfigService config;
  private final List<AdminToken> tokens;
  private final EventLog log;
  private final QueryService queries;
  private final CommandService commands;

  private AdminApi(
      ConfigService config,
      FleetPort fleet,
      List<AdminToken> tokens,
      InstantSource clock,
      EventLog log) {
    this.config = config;
    this.tokens = List.copyOf(tokens);
    this.log = log;
    queries = new QueryService(config, fleet, clock);
    commands = new CommandService(config, log);
  }

  /**
   * Returns the admin API of an entry.
   *
   * @param fleet sends queries to the connected processes
   * @param tokens accepted tokens; without any, all calls are refused
   */
  public static AdminApi of(
      ConfigService config,
      FleetPort fleet,
      List<AdminToken> tokens,
      InstantSource clock,
      EventLog log) {
    return new AdminApi(config, fleet, tokens, clock, log);
  }

  /** Adds the routes of the admin API to a server. */
  public JsonServer addRoutes(JsonServer server) {
    route(server, "GET", "/v1/admin/config", this::documentInForce);
    route(server, "GET", "/v1/admin/config/history", (call, token) -> changeHistory(token, false));
    route(server, "GET", "/v1/admin/config/versions/{v}", this::documentAtVersion);
    route(server, "GET", "/v1/admin/audit", (call, token) -> changeHistory(token, true));
    route(
        server,
        "GET",
        "/v1/admin/inforce/{version}",
        (call, token) ->
            queries.inForce(parseVersion(call.path("version"))).thenApply(AdminApi::okReply));
    route(
        server,
        "POST",
        "/v1/admin/query",
        (call, token) ->
            queries
                .answer(parseBody(call).path("query").asText(), token)
                .thenApply(AdminApi::okReply));
    route(
        server,
        "POST",
        "/v1/admin/commands",
        (call, token) -> commands.submit(parseBody(call), token));
    route(
        server,
        "GET",
        "/v1/admin/commands/{command_id}",
        (call, token) -> commands.settle(call.path("command_id"), token));
    return server;
  }

  /** Handles an authenticated call; may reject it with a {@link ProblemException}. */
  private interface Handler {
    CompletableFuture<HttpReply> handle(HttpCall call, AdminToken token);
  }

  private void route(JsonServer server, String method, String path, Handler handler) {
    server.route(method, path, call -> authenticate(call, handler));
  }

  private CompletableFuture<HttpReply> authenticate(HttpCall call, Handler handler) {
    Optional<AdminToken> token =
        call.header("Authorization")
            .filter(value -> value.startsWith(BEARER_PREFIX))
            .flatMap(
                value -> AdminToken.find(tokens, value.substring(BEARER_PREFIX.length()).trim()));
    if (token.isEmpty()) {
      log.event(AdminEvent.ADMIN_UNAUTHORIZED).write();
      return CompletableFuture.completedFuture(
          new ProblemException(401, "unauthorized", "Send a valid bearer token.").reply());
    }
    CompletableFuture<HttpReply> reply;
    try {
      reply = handler.handle(call, token.get());
    } catch (RuntimeException e) {
      reply = CompletableFuture.failedFuture(e);
    }
    return reply.exceptionally(failure -> failureReply(failure, token.get()));
  }

  private HttpReply failureReply(Throwable failure, AdminToken token) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    if (cause instanceof ProblemException problem) {
      if (problem.status() == 403) {
        log.event(AdminEvent.ADMIN_FORBIDDEN).with("operator", token.operator()).write();
      }
      return problem.reply();
    }
    log.event(AdminEvent.ADMIN_FAILED).with("operator", token.operator()).cause(cause).write();
    return new ProblemException(500, "internal", "The call failed; see the entry's log.").reply();
  }

  private static void requireUnlimited(AdminToken token) {
    if (!token.unlimited()) {
      throw QueryService.forbidden();
    }
  }

  private CompletableFuture<HttpReply> documentInForce(HttpCall call, AdminToken token) {
    requireUnlimited(token);
    return CompletableFuture.completedFuture(documentReply(config.current()));
  }

  private CompletableFuture<HttpReply> documentAtVersion(HttpCall call, AdminToken token) {
    requireUnlimited(token);
    return CompletableFuture.completedFuture(
        documentReply(queries.documentAt(parseVersion(call.path("v")))));
  }

  private static HttpReply documentReply(ConfigDocument document) {
    return new HttpReply(200, "application/json", Map.of(), ConfigJson.write(document));
  }

  private CompletableFuture<HttpReply> changeHistory(AdminToken token, boolean withObjects) {
    requireUnlimited(token);
    ConfigDocument document = config.current();
    return CompletableFuture.completedFuture(
        okReply(
            Map.of(
                "version",
                document.version(),
                "rows",
                QueryService.historyRows(document, withObjects))));
  }

  private static HttpReply okReply(Map<String, Object> body) {
    return HttpReply.json(200, body);
  }

  private static long parseVersion(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new ProblemException(
          400, "invalid-request", "The version '" + text + "' isn't a number.");
    }
  }

  private static JsonNode parseBody(HttpCall call) {
    try {
      return call.json();
    } catch (IOException e) {
      throw new ProblemException(400, "invalid-request", "The body isn't valid JSON.");
    }
  }
}
