package org.oriolewell.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.result.Failure;
import org.oriolewell.core.result.ProblemKind;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.http.JsonServer;

/**
 * The HTTP API for callers: requests, resumed streams and settling of idempotency keys
 * (docs/callers.md).
 */
final class CallersApi {
  private final ConfigSource config;
  private final RequestParser parser;
  private final RequestContext requestContext;
  private final ResumableStreams resumableStreams;
  private final Settler settler;
  private final Limits limits;
  private final SecureRandom idGenerator = new SecureRandom();
  private final AtomicInteger inFlightCount = new AtomicInteger();
  private volatile boolean stopping;

  /**
   * Limits of the callers' API.
   *
   * @param maxRequests largest number of requests in flight; more are refused
   * @param streamGrace time in which a caller that lost the connection of its stream may resume it,
   *     before the request is canceled
   */
  record Limits(int maxRequests, Duration streamGrace) {}

  CallersApi(
      ConfigSource config,
      RequestParser parser,
      RequestContext requestContext,
      ResumableStreams resumableStreams,
      Settler settler,
      Limits limits) {
    this.config = config;
    this.parser = parser;
    this.requestContext = requestContext;
    this.resumableStreams = resumableStreams;
    this.settler = settler;
    this.limits = limits;
  }

  /** Adds the routes to the callers' server. */
  JsonServer addTo(JsonServer server) {
    return server
        .streamRoute("POST", "/v1/requests", this::handleRequest)
        .streamRoute("GET", "/v1/requests/{id}/stream", this::handleResume)
        .route("POST", "/v1/calls/settle", this::handleSettle)
        .onFailure(Problems::handlerFailure);
  }

  /** Returns the number of requests in flight, which have not been fully answered. */
  int requestsInFlight() {
    return inFlightCount.get();
  }

  /** Makes this entry refuse new requests; requests in flight continue. */
  void refuseNewRequests() {
    stopping = true;
  }

  private CompletableFuture<HttpReply> handleRequest(HttpCall call) {
    inFlightCount.incrementAndGet();
    try {
      CallerRequest request = parser.parse(call, requireReady());
      RequestRun run = new RequestRun(newId(), request, requestContext);
      return request.stream() ? answerAsStream(call, run) : answerWhole(call, run);
    } catch (RuntimeException e) {
      inFlightCount.decrementAndGet();
      throw e;
    }
  }

  /**
   * Returns the configuration in force if a new request may be accepted; refuses the request
   * otherwise.
   */
  private ConfigDocument requireReady() {
    if (stopping) {
      throw new ProblemException(
          Failure.notRun(
              ProblemKind.STOPPING, "this entry is stopping; retry at another entry", 1000));
    }
    if (inFlightCount.get() > limits.maxRequests()) {
      throw new ProblemException(
          Failure.notRun(ProblemKind.OVERLOADED, "this entry is full; retry later", 1000));
    }
    return config
        .current()
        .orElseThrow(
            () ->
                new ProblemException(
                    Failure.notRun(
                        ProblemKind.NOT_READY,
                        "this entry has no configuration yet; retry later",
                        1000)));
  }

  private String newId() {
    byte[] idBytes = new byte[16];
    idGenerator.nextBytes(idBytes);
    return HexFormat.of().formatHex(idBytes);
  }

  private CompletableFuture<HttpReply> answerWhole(HttpCall call, RequestRun run) {
    call.onFailure(run::callerLeft);
    run.start();
    return run.ending()
        .thenApply(ending -> reply(run, ending))
        .whenComplete((reply, failure) -> inFlightCount.decrementAndGet());
  }

  private static HttpReply reply(RequestRun run, Ending ending) {
    if (ending instanceof Ending.Answer answer) {
      Map<String, Object> body = new LinkedHashMap<>();
      body.put("request_id", run.id());
      body.put("outcome", "answered");
      body.put("output", answer.output());
      body.put("tokens", answer.tokenCount());
      body.put("stages", StageReportJson.json(answer.stages()));
      return HttpReply.json(200, body);
    }
    if (ending instanceof Ending.Refusal refusal) {
      return Problems.reply(refusal.failure(), run.id());
    }
    return HttpReply.text(499, "the caller left\n");
  }

  private CompletableFuture<HttpReply> answerAsStream(HttpCall call, RequestRun run) {
    StreamSession session = new StreamSession(run, requestContext.timers(), limits.streamGrace());
    resumableStreams.add(session);
    run.start();
    return session.attach(call, 0, inFlightCount::decrementAndGet);
  }

  private CompletableFuture<HttpReply> handleResume(HttpCall call) {
    long from = fromPosition(call);
    StreamSession session =
        resumableStreams
            .find(call.path("id"))
            .orElseThrow(
                () ->
                    ProblemException.of(
                        ProblemKind.INVALID_REQUEST,
                        "the request is unknown or no longer kept; send it again"));
    inFlightCount.incrementAndGet();
    return session.attach(call, from, inFlightCount::decrementAndGet);
  }

  private CompletableFuture<HttpReply> handleSettle(HttpCall call) {
    ConfigDocument document = requireReady();
    JsonNode body = RequestParser.body(call);
    String pipeline = RequestParser.text(body, "pipeline");
    String workspace = RequestParser.text(body, "workspace");
    String key = RequestParser.checkedKey(RequestParser.text(body, "idempotency_key"));
    inFlightCount.incrementAndGet();
    return settler
        .settle(document, workspace, pipeline, key)
        .thenApply(settlement -> settleReply(key, settlement))
        .whenComplete((reply, failure) -> inFlightCount.decrementAndGet());
  }

  private static HttpReply settleReply(String key, Settlement settlement) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("idempotency_key", key);
    body.put("outcome", settlement.outcome().apiName());
    body.put("stages", settlement.stages());
    return HttpReply.json(200, body);
  }

  private static long fromPosition(HttpCall call) {
    try {
      long from = Long.parseLong(call.query("from").orElse("0"));
      if (from >= 0) {
        return from;
      }
    } catch (NumberFormatException e) {
      // Refused below like a negative position.
    }
    throw ProblemException.of(
        ProblemKind.INVALID_REQUEST, "the parameter from is not a position; give 0 or more");
  }
}
