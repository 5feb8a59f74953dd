package org.oriolewell.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.overload.StageAdmission.Decision;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.RequestKind;
import org.oriolewell.core.route.Route;
import org.oriolewell.core.route.RouteTable;
import org.oriolewell.core.route.ServiceSpec;
import org.oriolewell.core.route.Workspace;
import org.oriolewell.core.stage.StageLoad;
import org.oriolewell.core.stage.StageProgress;
import org.oriolewell.gateway.RequestDialect.Additions;
import org.oriolewell.gateway.RequestDialect.Intent;
import org.oriolewell.runtime.net.EventLoop;

/**
 * One request from its acceptance to its final answer: admission, stages, attempts at upstreams.
 * Used on the event loop only.
 */
final class RequestFlow implements UpstreamAttempt.Listener {
  /** Ranks of routes within a workspace's rank. */
  private static final int RANKS_PER_WORKSPACE = 16;

  /** Connections that may fail to open before the request is refused. */
  private static final int MAX_OPEN_FAILURES = 3;

  /** Retry-After when no upstream can take the request; about the time of a restart's notice. */
  private static final Duration NO_UPSTREAM = Duration.ofMillis(500);

  /** Retry-After when an upstream is full; about the time of one batch. */
  private static final Duration FULL = Duration.ofMillis(300);

  /** Cost of another zone for a plain service, as a share of a fully loaded upstream. */
  private static final double OTHER_ZONE = 0.25;

  /** Cost of another region for a plain service; its bytes are paid for. */
  private static final double OTHER_REGION = 1.5;

  /**
   * Time after which an engine of the region has read a request's inputs: it reads them before the
   * prompt, and the largest take about 10 ms. They are freed then unless another attempt may need
   * them, since the space of results limits the stages; the first byte comes 120 ms later or more.
   */
  private static final Duration INPUTS_READ = Duration.ofMillis(60);

  /** Least urgent rank that an engine knows. */
  private static final int MAX_ENGINE_RANK = 9;

  private static final byte[] EMPTY = new byte[0];

  private final Services services;
  private final CallerExchange exchange;
  private final Intent intent;
  private final Route route;
  private final @Nullable Workspace workspace;
  private final RouteTable table;
  private final Runnable onEnd;
  private final long startedAt;
  private final long targetAt;
  private final long giveUpAt;
  private int rank;
  private final String service;
  private final Set<String> tried = new HashSet<>();
  private String region;
  private @Nullable StageRun stages;
  private List<String> inputs = List.of();
  private @Nullable UpstreamAttempt attempt;
  private @Nullable AnswerStream stream;
  private int sends;
  private int openFailures;
  private double forecastMillis = -1;
  private long firstByteMillis = -1;
  private long sentAt;
  private boolean sentOnce;
  private boolean ended;
  private final List<EventLoop.Timer> timers = new ArrayList<>();

  RequestFlow(
      Services services,
      CallerExchange exchange,
      Intent intent,
      Route route,
      @Nullable Workspace workspace,
      RouteTable table,
      Runnable onEnd) {
    this.services = services;
    this.exchange = exchange;
    this.intent = intent;
    this.route = route;
    this.workspace = workspace;
    this.table = table;
    this.onEnd = onEnd;
    this.startedAt = exchange.request().receivedAt();
    Duration patience = intent.callerTimeout();
    Duration waited =
        patience == null ? Duration.ZERO : services.patience().waitedBefore(route.name(), patience);
    this.targetAt = startedAt + route.latencyTarget().minus(waited).toNanos();
    Duration limit =
        patience != null && patience.compareTo(route.timeout()) < 0 ? patience : route.timeout();
    this.giveUpAt = startedAt + limit.toNanos();
    Integer workspaceRank = workspace == null ? null : workspace.priority();
    this.rank =
        (workspaceRank == null ? 0 : workspaceRank) * RANKS_PER_WORKSPACE
            + Math.min(route.priority(), RANKS_PER_WORKSPACE - 1);
    this.service = route.serviceFor(requestId().hashCode());
    this.region = services.control().self().region();
  }

  private String requestId() {
    String id = intent.attemptId();
    return id == null ? "" : id;
  }

  /** Begins the request. */
  void start() {
    exchange.onGone(this::callerGone);
    Duration left = Duration.ofNanos(giveUpAt - services.loop().now());
    timers.add(services.loop().after(left, this::timedOut));
    if (intent.pieceCounts().stream().anyMatch(pieces -> pieces > 0)) {
      admit();
    } else {
      logRouted("no stages", 0);
      callUpstream(null);
    }
  }

  private void admit() {
    int[] pieces = intent.pieceCounts().stream().mapToInt(Integer::intValue).toArray();
    StageProgress progress = StageProgress.of(route.stages(), pieces);
    Decision decision =
        new RequestAdmission(services, route, service, rank).decide(progress, targetAt, giveUpAt);
    if (decision instanceof Decision.Refuse refuse) {
      refuse(
          "stages would take " + (long) Math.min(refuse.expectedMillis(), 1e6) + " ms",
          "overload",
          refuse.retryAfter());
    } else if (decision instanceof Decision.Accept accept) {
      region = accept.region();
      if (accept.late()) {
        rank = StageLoad.LATE_RANK;
      } else {
        forecastMillis = accept.expectedMillis() - services.bias().millis(route.name());
      }
      logRouted(
          accept.late() ? "late, behind other work" : "in time", (long) accept.expectedMillis());
      runStages(progress);
    }
  }

  private void runStages(StageProgress progress) {
    StageRun run =
        new StageRun(
            services,
            route,
            requestId(),
            intent.pieceKey(),
            region,
            chooseEngine().map(UpstreamInstance::zone).orElse(""),
            rank,
            targetAt,
            giveUpAt,
            progress,
            new StageRun.Listener() {
              @Override
              public void onDone(List<String> results) {
                inputs = results;
                callUpstream(null);
              }

              @Override
              public void onFailed(String reason) {
                refuse(reason, "stage failed", FULL);
              }
            });
    stages = run;
    run.begin();
  }

  private void logRouted(String reason, long expectedMillis) {
    services
        .log()
        .event(GatewayEvent.ROUTED)
        .with("request", requestId())
        .with("route", route.name())
        .with("config", table.version())
        .with("workspace", workspace == null ? null : workspace.name())
        .with("service", service)
        .with("region", region)
        .with("rank", rank)
        .with("reason", reason)
        .with("expected_ms", expectedMillis)
        .with("target_ms", route.latencyTarget().toMillis())
        .with(
            "patience_ms",
            intent.callerTimeout() == null ? null : intent.callerTimeout().toMillis())
        .with("view_age_ms", services.control().ageMillis())
        .write();
  }

  private void callUpstream(@Nullable String resumeAfter) {
    if (ended) {
      return;
    }
    if (table.needsKey(route) && !sentOnce && !services.control().fresh()) {
      refuse("keys not confirmed before the call", "keys not confirmed", NO_UPSTREAM);
      return;
    }
    Optional<UpstreamInstance> chosen = choose();
    if (chosen.isEmpty()) {
      if (sentOnce) {
        fail("no other upstream is left", 502);
      } else {
        refuse("no upstream of " + service, "no upstream", NO_UPSTREAM);
      }
      return;
    }
    send(chosen.get(), resumeAfter);
  }

  private Optional<UpstreamInstance> choose() {
    long now = services.loop().now();
    List<UpstreamInstance> usable = services.control().roster().usable(service);
    boolean engine = table.service(service).map(ServiceSpec::engine).orElse(false);
    if (!engine) {
      return services.placement().leastLoaded(usable, this::distance, tried, now);
    }
    return chooseEngine();
  }

  /**
   * Returns the engine of the region that probably keeps the prompt. Reading a shared part again
   * costs more than the transfer of stage results from another zone of the region.
   */
  private Optional<UpstreamInstance> chooseEngine() {
    long now = services.loop().now();
    List<UpstreamInstance> usable = services.control().roster().usable(service);
    List<UpstreamInstance> near =
        usable.stream()
            .filter(upstream -> services.regions().of(upstream.zone()).equals(region))
            .toList();
    long affinity = intent.affinityHash() == 0 ? requestId().hashCode() : intent.affinityHash();
    Optional<UpstreamInstance> local = services.placement().byAffinity(near, affinity, tried, now);
    return local.isPresent()
        ? local
        : services.placement().byAffinity(usable, affinity, tried, now);
  }

  private double distance(UpstreamInstance upstream) {
    if (upstream.zone().equals(services.control().self().zone())) {
      return 0;
    }
    String upstreamRegion = services.regions().of(upstream.zone());
    return upstreamRegion.equals(services.control().self().region()) ? OTHER_ZONE : OTHER_REGION;
  }

  private void send(UpstreamInstance upstream, @Nullable String resumeAfter) {
    long now = services.loop().now();
    Duration remaining = Duration.ofNanos(giveUpAt - now);
    if (remaining.toMillis() <= 0) {
      timedOut();
      return;
    }
    sends++;
    tried.add(upstream.id());
    if (sends == 1) {
      services.budget().attempted(service);
    }
    services
        .log()
        .event(GatewayEvent.UPSTREAM_CHOSEN)
        .with("request", requestId())
        .with("attempt", sends)
        .with("upstream", upstream.id())
        .with("address", upstream.address())
        .with("zone", upstream.zone())
        .with("in_flight", services.health().inFlight(upstream.id()))
        .with("failures", services.health().level(upstream.id(), now))
        .with("resume_after", resumeAfter)
        .with("remaining_ms", remaining.toMillis())
        .write();
    Additions additions =
        new Additions(
            remaining,
            upstream,
            workspace == null ? null : workspace.name(),
            inputs,
            resumeAfter,
            Math.min(MAX_ENGINE_RANK, route.priority()));
    HttpFields headers =
        services.dialect().upstreamHeaders(exchange.request().headers(), additions);
    UpstreamRequest request =
        new UpstreamRequest(
            exchange.request().method(),
            exchange.request().target(),
            headers,
            exchange.request().body(),
            intent.attemptId());
    UpstreamAttempt started =
        new UpstreamAttempt(services, route, requestId(), upstream, stream, this);
    attempt = started;
    sentAt = now;
    started.start(request, patience());
  }

  /** Returns the silence after which a request that may be repeated is sent elsewhere. */
  private @Nullable Duration patience() {
    if (!route.repeatable() || sends >= route.maxAttempts()) {
      return null;
    }
    return route.kind() == RequestKind.IDEMPOTENT
        ? route.latencyTarget()
        : route.latencyTarget().dividedBy(2).plus(route.gapTarget().multipliedBy(2));
  }

  @Override
  public void onSent(UpstreamInstance upstream) {
    boolean near = services.regions().of(upstream.zone()).equals(region);
    if (!inputs.isEmpty() && near && sends >= route.maxAttempts()) {
      timers.add(services.loop().after(INPUTS_READ, this::releaseStages));
    }
  }

  @Override
  public void onFirstByte() {
    long now = services.loop().now();
    firstByteMillis = Services.millis(startedAt, now);
    services.firstByteTimes().observed(route.name(), Services.millis(sentAt, now));
    if (forecastMillis >= 0) {
      services.bias().observed(route.name(), forecastMillis, firstByteMillis);
      forecastMillis = -1;
    }
    services.metrics().firstByte(route.name(), firstByteMillis / 1000.0);
    releaseStages();
  }

  @Override
  public void onStream(AnswerStream started) {
    if (stream == null) {
      stream = started;
      exchange.startStream(started.status(), started.headers());
    }
  }

  @Override
  public void onStreamContent(byte[] content) {
    exchange.writeStream(content);
  }

  @Override
  public void onStreamComplete() {
    logEnd(GatewayEvent.ANSWERED, "stream complete", 200);
    end("answered");
    exchange.endStream();
  }

  @Override
  public void onAnswer(int status, HttpFields headers, byte[] body) {
    logEnd(GatewayEvent.ANSWERED, "whole answer", status);
    end(status < 400 ? "answered" : "upstream_error");
    exchange.reply(status, headers, body);
  }

  @Override
  public void onOpenFailed(UpstreamInstance upstream, String reason) {
    sends--;
    openFailures++;
    if (openFailures < MAX_OPEN_FAILURES) {
      callUpstream(lastEvent());
    } else if (sentOnce) {
      fail(reason, 502);
    } else {
      refuse(reason, "no upstream", NO_UPSTREAM);
    }
  }

  @Override
  public void onNotExecuted(UpstreamInstance upstream, String reason) {
    boolean again = sends < route.maxAttempts() && mayRetry();
    if (again) {
      callUpstream(lastEvent());
    } else if (sentOnce) {
      fail(reason, 502);
    } else {
      refuse(reason, "upstream full", FULL);
    }
  }

  @Override
  public void onBroken(UpstreamInstance upstream, String reason) {
    sentOnce = true;
    if (route.repeatable() && sends < route.maxAttempts() && mayRetry()) {
      callUpstream(lastEvent());
    } else {
      fail(reason, 502);
    }
  }

  @Override
  public boolean onServerError(int status) {
    if (route.kind() != RequestKind.IDEMPOTENT || sends >= route.maxAttempts() || !mayRetry()) {
      return false;
    }
    sentOnce = true;
    callUpstream(null);
    return true;
  }

  private boolean mayRetry() {
    boolean allowed = services.budget().tryTake(service, services.loop().now());
    if (allowed) {
      services.metrics().retried(service);
    }
    return allowed;
  }

  private @Nullable String lastEvent() {
    AnswerStream current = stream;
    return current == null ? null : current.lastEventId();
  }

  private void timedOut() {
    if (ended) {
      return;
    }
    UpstreamAttempt running = attempt;
    if (sentOnce || (running != null && running.maySent())) {
      fail("no whole answer within " + route.timeout().toMillis() + " ms", 504);
    } else {
      refuse("time is up before an upstream was reached", "time is up", null);
    }
  }

  private void refuse(String reason, String kind, @Nullable Duration retryAfter) {
    if (ended) {
      return;
    }
    long now = services.loop().now();
    services
        .log()
        .event(GatewayEvent.REFUSED)
        .with("request", requestId())
        .with("route", route.name())
        .with("reason", reason)
        .with("status", 503)
        .with("ms", Services.millis(startedAt, now))
        .with("retry_after_ms", retryAfter == null ? null : retryAfter.toMillis())
        .write();
    services.metrics().refused(kind);
    end("refused");
    exchange.reply(
        503, services.dialect().gatewayAnswerHeaders(intent.attemptId(), retryAfter), EMPTY);
  }

  private void fail(String reason, int status) {
    if (ended) {
      return;
    }
    logEnd(GatewayEvent.FAILED, reason, status);
    end("failed");
    if (exchange.streaming()) {
      exchange.abort();
    } else {
      exchange.reply(
          status, services.dialect().gatewayAnswerHeaders(intent.attemptId(), null), EMPTY);
    }
  }

  private void logEnd(GatewayEvent event, String reason, int status) {
    services
        .log()
        .event(event)
        .with("request", requestId())
        .with("route", route.name())
        .with("reason", reason)
        .with("status", status)
        .with("attempts", sends)
        .with("first_byte_ms", firstByteMillis < 0 ? null : firstByteMillis)
        .with("ms", Services.millis(startedAt, services.loop().now()))
        .write();
  }

  private void callerGone() {
    if (!ended) {
      logEnd(GatewayEvent.CALLER_GONE, "the caller closed its connection", 0);
      end("caller_gone");
    }
  }

  private void end(String outcome) {
    ended = true;
    timers.forEach(EventLoop.Timer::cancel);
    UpstreamAttempt running = attempt;
    if (running != null) {
      running.cancel();
    }
    releaseStages();
    services.metrics().ended(route.name(), outcome);
    onEnd.run();
  }

  private void releaseStages() {
    StageRun run = stages;
    if (run != null) {
      stages = null;
      run.end();
    }
  }
}
