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

/** The routes that callers use (docs/callers.md). */
final class CallersApi {
  private final ConfigSource config;
  private final RequestParser parser;
  private final RunContext context;
  private final RequestTable streams;
  private final Settler settler;
  private final Limits limits;
  private final SecureRandom ids = new SecureRandom();
  private final AtomicInteger open = new AtomicInteger();
  private volatile boolean stopping;

  /**
   * Bounds of the API.
   *
   * @param maxRequests most requests in flight
   * @param streamGrace time in which a caller that lost its stream may resume
   */
  record Limits(int maxRequests, Duration streamGrace) {}

  CallersApi(
      ConfigSource config,
      RequestParser parser,
      RunContext context,
      RequestTable streams,
      Settler settler,
      Limits limits) {
    this.config = config;
    this.parser = parser;
    this.context = context;
    this.streams = streams;
    this.settler = settler;
    this.limits = limits;
  }

  /** Adds the routes to the callers' server. */
  JsonServer addTo(JsonServer server) {
    return server
        .streamRoute("POST", "/v1/requests", this::request)
        .streamRoute("GET", "/v1/requests/{id}/stream", this::resume)
        .route("POST", "/v1/calls/settle", this::settle)
        .onFailure(Problems::of);
  }

  /** Returns the number of requests that aren't fully answered. */
  int inFlight() {
    return open.get();
  }

  /** Refuses new requests from now on. */
  void stop() {
    stopping = true;
  }

  private CompletableFuture<HttpReply> request(HttpCall call) {
    open.incrementAndGet();
    try {
      CallerRequest request = parser.parse(call, ready());
      RequestRun run = new RequestRun(newId(), request, context);
      return request.stream() ? stream(call, run) : whole(call, run);
    } catch (RuntimeException e) {
      open.decrementAndGet();
      throw e;
    }
  }

  private ConfigDocument ready() {
    if (stopping) {
      throw new ProblemException(
          Failure.notRun(
              ProblemKind.STOPPING, "this entry is stopping; retry at another entry", 1000));
    }
    if (open.get() > limits.maxRequests()) {
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
    byte[] id = new byte[16];
    ids.nextBytes(id);
    return HexFormat.of().formatHex(id);
  }

  private CompletableFuture<HttpReply> whole(HttpCall call, RequestRun run) {
    call.onFailure(run::callerLeft);
    run.start();
    return run.ending()
        .thenApply(ending -> reply(run, ending))
        .whenComplete((reply, failure) -> open.decrementAndGet());
  }

  private static HttpReply reply(RequestRun run, Ending ending) {
    if (ending instanceof Ending.Answer answer) {
      Map<String, Object> body = new LinkedHashMap<>();
      body.put("request_id", run.id());
      body.put("outcome", "answered");
      body.put("output", answer.output());
      body.put("tokens", answer.tokens());
      body.put("stages", Stages.json(answer.stages()));
      return HttpReply.json(200, body);
    }
    if (ending instanceof Ending.Refusal refusal) {
      return Problems.reply(refusal.failure(), run.id());
    }
    return HttpReply.text(499, "the caller left\n");
  }

  private CompletableFuture<HttpReply> stream(HttpCall call, RequestRun run) {
    StreamSession session = new StreamSession(run, context.timers(), limits.streamGrace());
    streams.add(session);
    run.start();
    return session.attach(call, 0, open::decrementAndGet);
  }

  private CompletableFuture<HttpReply> resume(HttpCall call) {
    long from = position(call);
    StreamSession session =
        streams
            .find(call.path("id"))
            .orElseThrow(
                () ->
                    ProblemException.of(
                        ProblemKind.INVALID_REQUEST,
                        "the request is unknown or no longer kept; send it again"));
    open.incrementAndGet();
    return session.attach(call, from, open::decrementAndGet);
  }

  private CompletableFuture<HttpReply> settle(HttpCall call) {
    ConfigDocument document = ready();
    JsonNode body = RequestParser.body(call);
    String pipeline = RequestParser.text(body, "pipeline");
    String workspace = RequestParser.text(body, "workspace");
    String key = RequestParser.checkedKey(RequestParser.text(body, "idempotency_key"));
    open.incrementAndGet();
    return settler
        .settle(document, workspace, pipeline, key)
        .thenApply(settlement -> settled(key, settlement))
        .whenComplete((reply, failure) -> open.decrementAndGet());
  }

  private static HttpReply settled(String key, Settlement settlement) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("idempotency_key", key);
    body.put("outcome", settlement.outcome().apiName());
    body.put("stages", settlement.stages());
    return HttpReply.json(200, body);
  }

  private static long position(HttpCall call) {
    try {
      long from = Long.parseLong(call.query("from").orElse("0"));
      if (from >= 0) {
        return from;
      }
    } catch (NumberFormatException e) {
      // The same answer as for a negative position.
    }
    throw ProblemException.of(
        ProblemKind.INVALID_REQUEST, "the parameter from is not a position; give 0 or more");
  }
}
