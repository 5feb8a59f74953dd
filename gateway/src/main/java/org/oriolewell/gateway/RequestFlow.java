package org.oriolewell.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.eligibility.CallScope;
import org.oriolewell.core.eligibility.Eligibility;
import org.oriolewell.core.eligibility.EligibleUpstream;
import org.oriolewell.core.eligibility.Reason;
import org.oriolewell.core.overload.StageAdmission.Decision;
import org.oriolewell.core.quarantine.CrashQuarantine;
import org.oriolewell.core.quarantine.CrashSubject;
import org.oriolewell.core.retry.SilenceLimit;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.AllowedRegions;
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
 * Processes one caller's request until its final answer: admission, stages, attempts at upstreams,
 * retries. Used on the event loop only.
 */
final class RequestFlow implements UpstreamAttempt.Listener, CrashGuard.PendingRequest {
  /** Number of route priorities that rank between two workspace priorities. */
  private static final int RANKS_PER_WORKSPACE_PRIORITY = 16;

  /** Failed connection attempts after which the request is refused. */
  private static final int MAX_CONNECT_FAILURES = 3;

  /**
   * Retry-After when no upstream can take the request; about the time until a restart of an
   * upstream is noticed.
   */
  private static final Duration NO_UPSTREAM_RETRY_AFTER = Duration.ofMillis(500);

  /** Retry-After when the chosen upstreams are full; about the time of one batch. */
  private static final Duration FULL_RETRY_AFTER = Duration.ofMillis(300);

  /** Retry-After when the process ends; other gateways can take the request at once. */
  static final Duration STOP_RETRY_AFTER = Duration.ofMillis(100);

  /** Reason in the log for requests that a planned stop ends. */
  static final String STOP_REASON = "the time-out of the planned stop is over";

  /** Reason in the log for requests that are refused during a planned stop. */
  private static final String STOP_ADMISSION_REASON =
      "the answer might not be complete before the planned stop ends";

  private static final String STOP_METRIC_REASON = "stopping";

  /**
   * Time after which an engine of the region has read a request's inputs: it reads them before the
   * prompt, and the largest take about 10 ms. The inputs are freed then, unless another attempt may
   * need them, instead of at the first byte, which comes at least 120 ms later: the space for
   * results limits how many stages can run.
   */
  private static final Duration INPUT_READ_TIME = Duration.ofMillis(60);

  /** Time for which a permit is valid; a connection is opened within 700 ms. */
  private static final Duration PERMIT_LIFETIME = Duration.ofMillis(800);

  /** Least urgent rank that an engine accepts. */
  private static final int MAX_ENGINE_RANK = 9;

  private static final byte[] EMPTY_BODY = new byte[0];

  private final GatewayComponents components;
  private final CallerExchange exchange;
  private final Intent intent;
  private final Route route;
  private final @Nullable Workspace workspace;
  private final RouteTable table;
  private final Consumer<RequestFlow> onEnd;
  private final RequestGuard guard;
  private final long startedAt;
  private final long firstByteDueAt;
  private final long deadline;
  private int rank;
  private final String serviceName;
  private final AllowedRegions allowedRegions;
  private final UpstreamChoice upstreamChoice;
  private final CrashSubjects crashSubjects;

  private String region;
  private @Nullable StageRun stageRun;
  private List<String> inputHandles = List.of();
  private @Nullable UpstreamAttempt attempt;
  private final AnswerStream answerStream;
  private int attemptCount;
  private int connectFailures;
  private double forecastMillis = -1;

  /** Parts of the time that admission expected; null for a request without stages. */
  private RequestAdmission.@Nullable Parts forecastParts;

  private long firstByteMillis = -1;
  private long attemptStartedAt;
  private boolean mayHaveExecuted;

  /** Whether the current attempt was queued for writing to its upstream. */
  private boolean sent;

  /** Whether the current attempt holds a permit for its upstream. */
  private boolean permitHeld;

  /** Whether the retry budget has granted the next attempt already. */
  private boolean retryGranted;

  /** Quarantined subject whose trial this request is; null if it is none. */
  private @Nullable String trialSubject;

  private boolean requestEnded;
  private final List<EventLoop.Timer> timers = new ArrayList<>();

  RequestFlow(
      GatewayComponents components,
      CallerExchange exchange,
      Intent intent,
      Route route,
      @Nullable Workspace workspace,
      RouteTable table,
      Consumer<RequestFlow> onEnd) {
    this.components = components;
    this.exchange = exchange;
    this.intent = intent;
    this.route = route;
    this.workspace = workspace;
    this.table = table;
    this.onEnd = onEnd;
    this.guard =
        new RequestGuard(
            components.loop(), components.log(), requestId(), this::endAfterFailedStep);
    this.startedAt = exchange.request().receivedAt();
    Duration callerTimeout = intent.callerTimeout();
    Duration alreadyWaited =
        callerTimeout == null
            ? Duration.ZERO
            : components.callerPatience().waitedBefore(route.name(), callerTimeout);
    this.firstByteDueAt = startedAt + route.latencyTarget().minus(alreadyWaited).toNanos();
    Duration timeout =
        callerTimeout != null && callerTimeout.compareTo(route.timeout()) < 0
            ? callerTimeout
            : route.timeout();
    this.deadline = startedAt + timeout.toNanos();
    Integer workspaceRank = workspace == null ? null : workspace.priority();
    this.rank =
        (workspaceRank == null ? 0 : workspaceRank) * RANKS_PER_WORKSPACE_PRIORITY
            + Math.min(route.priority(), RANKS_PER_WORKSPACE_PRIORITY - 1);
    this.serviceName = route.serviceFor(requestId().hashCode());
    this.region = components.control().self().region();
    this.answerStream = AnswerStream.after(route.repeatable() ? intent.lastEventId() : null);
    this.crashSubjects =
        new CrashSubjects(
            exchange.request(),
            intent.host(),
            workspace == null ? "" : workspace.name(),
            intent.sharedPromptParts());
    this.allowedRegions =
        workspace == null
            ? route.allowedRegions()
            : route.allowedRegions().and(workspace.allowedRegions());
    this.upstreamChoice =
        new UpstreamChoice(
            components,
            serviceName,
            table.service(serviceName).map(ServiceSpec::engine).orElse(false),
            intent.affinityHash() == 0 ? requestId().hashCode() : intent.affinityHash(),
            allowedRegions);
  }

  private String requestId() {
    String attemptId = intent.attemptId();
    return attemptId == null ? "" : attemptId;
  }

  /** Starts processing: admission and stages if the request has pieces, else an upstream call. */
  void start() {
    guard.run(this::admit);
  }

  private void admit() {
    exchange.onCallerGone(() -> guard.run(this::onCallerLeft));
    components.crashGuard().requestStarted(this);
    Duration untilDeadline = Duration.ofNanos(deadline - components.loop().now());
    timers.add(guard.after(untilDeadline, this::onTimeout));
    if (!components.stopGate().mayStart(route, startedAt, deadline)) {
      refuseForStop();
      return;
    }
    if (upstreamChoice.unreachable(rank)) {
      refuseWithoutUpstream();
      return;
    }
    if (heldBack()) {
      return;
    }
    if (upstreamChoice.allPaused(rank)) {
      refuseWithoutUpstream();
      return;
    }
    if (intent.pieceCounts().stream().anyMatch(pieces -> pieces > 0)) {
      decideAdmission();
    } else {
      if (intent.affinityHash() != 0) {
        region =
            new RequestAdmission(components, route, serviceName, rank, intent, allowedRegions)
                .regionWithoutStages()
                .orElse(region);
      }
      logRouted("no stages", 0);
      callUpstream(null);
    }
  }

  /** Refuses the request if it is quarantined, or a part of its prompt; returns whether it did. */
  private boolean heldBack() {
    CrashQuarantine.Decision decision = components.crashGuard().decide(crashSubjects);
    if (decision instanceof CrashQuarantine.Decision.HoldBack holdBack) {
      refuseQuarantined(holdBack.subject(), holdBack.retryAfter());
      return true;
    }
    if (decision instanceof CrashQuarantine.Decision.Trial trial) {
      trialSubject = trial.subject();
    }
    return false;
  }

  private void refuseQuarantined(String subject, Duration retryAfter) {
    String reason = crashReason(subject);
    if (mayHaveExecuted) {
      fail(reason, 502);
    } else {
      refuse(reason, "quarantined", retryAfter);
    }
  }

  private static String crashReason(String subject) {
    return CrashSubject.describe(subject) + " crashes upstreams";
  }

  @Override
  public CrashSubjects subjects() {
    return crashSubjects;
  }

  @Override
  public void onQuarantined(String subject) {
    guard.run(() -> holdBack(subject));
  }

  private void holdBack(String subject) {
    UpstreamAttempt currentAttempt = attempt;
    boolean waiting = currentAttempt == null || !currentAttempt.mayHaveBeenSent();
    if (requestEnded || subject.equals(trialSubject)) {
      return;
    }
    if (waiting) {
      heldBack();
    } else if (firstByteMillis < 0) {
      fail(crashReason(subject), 502);
    }
  }

  private void decideAdmission() {
    int[] pieces = intent.pieceCounts().stream().mapToInt(Integer::intValue).toArray();
    StageProgress progress = StageProgress.of(route.stages(), pieces);
    RequestAdmission admission =
        new RequestAdmission(components, route, serviceName, rank, intent, allowedRegions);
    Decision decision = admission.decide(progress, firstByteDueAt, deadline);
    if (decision instanceof Decision.Refuse refuse) {
      forecastParts = admission.parts(refuse.expectedMillis());
      refuse(
          "stages would take "
              + (long) Math.min(refuse.expectedMillis(), RequestAdmission.MAX_LOGGED_MILLIS)
              + " ms",
          "overload",
          refuse.retryAfter());
    } else if (decision instanceof Decision.Accept accept) {
      region = accept.region();
      forecastParts = admission.parts(accept.expectedMillis());
      if (accept.late()) {
        rank = StageLoad.LATE_RANK;
      } else {
        forecastMillis = accept.expectedMillis() - admission.correctionMillis();
      }
      logRouted(
          accept.late() ? "late, behind other work" : "in time", (long) accept.expectedMillis());
      runStages(progress);
    }
  }

  private void runStages(StageProgress progress) {
    StageRun currentRun =
        new StageRun(
            components,
            guard,
            route,
            requestId(),
            intent.pieceKey(),
            region,
            upstreamChoice.engineZone(region, rank),
            rank,
            firstByteDueAt,
            deadline,
            progress,
            new StageRun.Listener() {
              @Override
              public void onDone(List<String> resultHandles) {
                inputHandles = resultHandles;
                callUpstream(null);
              }

              @Override
              public void onFailed(String reason) {
                refuse(reason, "stage failed", FULL_RETRY_AFTER);
              }

              @Override
              public void onResultsLost() {
                repeatStages();
              }
            });
    stageRun = currentRun;
    currentRun.start();
  }

  /** Places the request again and runs its stages again, since their results are lost. */
  private void repeatStages() {
    cancelStages();
    inputHandles = List.of();
    if (!requestEnded) {
      decideAdmission();
    }
  }

  private void logRouted(String reason, long expectedMillis) {
    RequestAdmission.Parts parts = forecastParts;
    components
        .log()
        .event(GatewayEvent.ROUTED)
        .with("request", requestId())
        .with("route", route.name())
        .with("config", table.version())
        .with("workspace", workspace == null ? null : workspace.name())
        .with("service", serviceName)
        .with("region", region)
        .with("rank", rank)
        .with("reason", reason)
        .with("expected_ms", expectedMillis)
        .with("stages_ms", parts == null ? null : parts.stagesMillis())
        .with("first_byte_ms", parts == null ? null : parts.firstByteMillis())
        .with("correction_ms", parts == null ? null : parts.correctionMillis())
        .with("target_ms", route.latencyTarget().toMillis())
        .with(
            "patience_ms",
            intent.callerTimeout() == null ? null : intent.callerTimeout().toMillis())
        .with("view_age_ms", components.control().ageMillis())
        .write();
  }

  private @Nullable String promptPartsForLog() {
    List<String> parts = crashSubjects.promptParts();
    return parts.isEmpty() ? null : String.join(",", parts);
  }

  private @Nullable Integer speedLevelForLog(UpstreamInstance upstream, long now) {
    OptionalInt level = components.capacity().level(upstream.id(), now);
    return level.isPresent() ? level.getAsInt() : null;
  }

  private @Nullable Long loadAgeForLog(UpstreamInstance upstream, long now) {
    OptionalLong ageMillis = components.capacity().ageMillis(upstream.id(), now);
    return ageMillis.isPresent() ? ageMillis.getAsLong() : null;
  }

  private void callUpstream(@Nullable String lastEventId) {
    if (requestEnded) {
      return;
    }
    if (table.needsKey(route) && !mayHaveExecuted && !components.control().fresh()) {
      refuse("keys not confirmed before the call", "keys not confirmed", NO_UPSTREAM_RETRY_AFTER);
      return;
    }
    if (trialSubject == null && heldBack()) {
      return;
    }
    StageRun currentRun = stageRun;
    if (currentRun != null && !mayHaveExecuted && currentRun.resultsLost(inputHandles)) {
      repeatStages();
      return;
    }
    long now = components.loop().now();
    Optional<UpstreamInstance> chosenUpstream = upstreamChoice.next(region, rank);
    if (chosenUpstream.isEmpty()) {
      refuseWithoutUpstream();
    } else if (components.eligibility().check(chosenUpstream.get(), scope(), now)
        instanceof Eligibility.PermitNeeded) {
      requestPermit(chosenUpstream.get(), lastEventId);
    } else {
      sendTo(chosenUpstream.get(), false, lastEventId);
    }
  }

  private void requestPermit(UpstreamInstance upstream, @Nullable String lastEventId) {
    components
        .upstreamLimits()
        .requestPermit(
            upstream,
            rank,
            guard.receiver(granted -> onPermitDecided(upstream, lastEventId, granted)));
  }

  private void onPermitDecided(
      UpstreamInstance upstream, @Nullable String lastEventId, boolean granted) {
    if (requestEnded) {
      return;
    }
    if (!granted) {
      upstreamChoice.permitRefused(upstream);
      callUpstream(lastEventId);
    } else if (trialSubject != null || !heldBack()) {
      sendTo(upstream, true, lastEventId);
    }
  }

  private CallScope scope() {
    return new CallScope(allowedRegions, rank);
  }

  private void refuseWithoutUpstream() {
    if (mayHaveExecuted) {
      fail("no other upstream is left", 502);
      return;
    }
    Optional<Duration> pauseEnd = upstreamChoice.earliestPauseEnd(rank);
    if (pauseEnd.isPresent()) {
      refuse("the upstreams of " + serviceName + " pause", "upstream pause", pauseEnd.get());
      return;
    }
    Optional<Duration> shortestBlock = upstreamChoice.screen(rank).shortestBlock();
    if (shortestBlock.isPresent() || upstreamChoice.anyPermitRefused()) {
      Duration retryAfter =
          shortestBlock
              .filter(block -> block.compareTo(FULL_RETRY_AFTER) > 0)
              .orElse(FULL_RETRY_AFTER);
      refuse(
          "the upstreams of " + serviceName + " have reached their limits",
          "upstream limit",
          retryAfter);
    } else {
      String rules =
          upstreamChoice.screen(rank).reasons().stream()
              .map(Reason::label)
              .collect(Collectors.joining(", "));
      refuse(
          "no upstream of " + serviceName + (rules.isEmpty() ? "" : " that is not " + rules),
          "no upstream",
          NO_UPSTREAM_RETRY_AFTER);
    }
  }

  private void sendTo(UpstreamInstance upstream, boolean permitHeld, @Nullable String lastEventId) {
    if (exchange.detectCallerGone()) {
      return;
    }
    long now = components.loop().now();
    Optional<EligibleUpstream> target =
        components.eligibility().clear(upstream, scope(), permitHeld, now);
    if (target.isEmpty()) {
      // A rule has changed while the permit was asked for.
      components.upstreamStatements().withdrawn(upstream, requestId());
      callUpstream(lastEventId);
      return;
    }
    Duration remaining = Duration.ofNanos(deadline - now);
    if (remaining.toMillis() <= 0) {
      onTimeout();
      return;
    }
    if (!mayHaveExecuted && !components.stopGate().maySend(route, startedAt, deadline)) {
      refuseForStop();
      return;
    }
    attemptCount++;
    sent = false;
    this.permitHeld = permitHeld;
    upstreamChoice.tried(upstream);
    components.upstreamStatements().sent(upstream);
    if (attemptCount == 1) {
      components.retryBudget().attempted(serviceName);
    }
    components
        .log()
        .event(GatewayEvent.UPSTREAM_CHOSEN)
        .with("request", requestId())
        .with("attempt", attemptCount)
        .with("upstream", upstream.id())
        .with("address", upstream.address())
        .with("zone", upstream.zone())
        .with("in_flight", components.health().inFlight(upstream.id()))
        .with("failures", components.health().failureScore(upstream.id(), now))
        .with("speed_level", speedLevelForLog(upstream, now))
        .with("load", components.capacity().load(upstream.id(), now))
        .with("load_age_ms", loadAgeForLog(upstream, now))
        .with("resume_after", lastEventId)
        .with("prompt_parts", promptPartsForLog())
        .with("remaining_ms", remaining.toMillis())
        .write();
    Additions additions =
        new Additions(
            remaining,
            upstream,
            workspace == null ? null : workspace.name(),
            inputHandles,
            lastEventId,
            Math.min(MAX_ENGINE_RANK, route.priority()));
    HttpFields headers =
        components.dialect().upstreamHeaders(exchange.request().headers(), additions);
    this.permitHeld = permitHeld;
    UpstreamRequest request =
        new UpstreamRequest(
            exchange.request().method(),
            exchange.request().target(),
            headers,
            exchange.request().body(),
            requestId());
    UpstreamAttempt newAttempt =
        new UpstreamAttempt(
            components, guard, route, requestId(), crashSubjects, target.get(), answerStream, this);
    attempt = newAttempt;
    attemptStartedAt = now;
    newAttempt.start(request, SilenceLimit.of(route, attemptCount).orElse(null));
  }

  @Override
  public boolean mayReplaceSilentAttempt() {
    if (!upstreamChoice.anyUnlimited(region, rank) || !answerStream.events().resumable()) {
      return false;
    }
    retryGranted = mayRetry();
    return retryGranted;
  }

  @Override
  public void onConnected() {
    // Cancels the attempt before the request is written if the caller has disconnected meanwhile.
    if (!exchange.detectCallerGone()) {
      placeAgainIfBlocked();
    }
  }

  /** Chooses another upstream if a rule has blocked the current one before the request was sent. */
  private void placeAgainIfBlocked() {
    UpstreamAttempt currentAttempt = attempt;
    if (requestEnded || currentAttempt == null) {
      return;
    }
    long now = components.loop().now();
    boolean permitRecent = now - attemptStartedAt <= PERMIT_LIFETIME.toNanos();
    UpstreamInstance upstream = currentAttempt.upstream();
    boolean eligible =
        components
            .upstreamStatements()
            .stillEligible(components.eligibility(), upstream, scope(), permitHeld && permitRecent);
    if (!eligible) {
      components.upstreamStatements().withdrawn(upstream, requestId());
      currentAttempt.cancel();
      attempt = null;
      attemptCount--;
      callUpstream(lastForwardedEventId());
    }
  }

  @Override
  public void onSent(UpstreamInstance upstream) {
    sent = true;
    boolean inRegion = components.regions().regionOf(upstream.zone()).equals(region);
    if (!inputHandles.isEmpty() && inRegion && attemptCount >= route.maxAttempts()) {
      timers.add(guard.after(INPUT_READ_TIME, this::cancelStages));
    }
  }

  @Override
  public void onFirstByte() {
    long now = components.loop().now();
    firstByteMillis = GatewayComponents.millisBetween(startedAt, now);
    components
        .firstByteTimes()
        .observed(route.name(), GatewayComponents.millisBetween(attemptStartedAt, now), now);
    if (forecastMillis >= 0) {
      components.forecastBias().observed(route.name(), forecastMillis, firstByteMillis, now);
      forecastMillis = -1;
    }
    components.metrics().observeFirstByte(route.name(), firstByteMillis / 1000.0);
    cancelStages();
  }

  @Override
  public void onStreamStart(int status, HttpFields headers) {
    exchange.startStream(status, headers);
  }

  @Override
  public void onStreamContent(byte[] content) {
    exchange.writeStream(content);
  }

  @Override
  public void onStreamComplete() {
    components.stopGate().answered(route, startedAt, attemptStartedAt);
    logRequestEnd(GatewayEvent.ANSWERED, "stream complete", 200);
    finish("answered", exchange::endStream);
  }

  @Override
  public void onAnswer(int status, HttpFields headers, byte[] body) {
    components.stopGate().answered(route, startedAt, attemptStartedAt);
    logRequestEnd(GatewayEvent.ANSWERED, "whole answer", status);
    finish(
        status < 400 ? "answered" : "upstream_error", () -> exchange.reply(status, headers, body));
  }

  @Override
  public void onConnectFailed(UpstreamInstance upstream, String reason) {
    attemptCount--;
    connectFailures++;
    if (connectFailures < MAX_CONNECT_FAILURES) {
      callUpstream(lastForwardedEventId());
    } else if (mayHaveExecuted) {
      fail(reason, 502);
    } else {
      refuse(reason, "no upstream", NO_UPSTREAM_RETRY_AFTER);
    }
  }

  @Override
  public void onNotExecuted(UpstreamInstance upstream, String reason) {
    boolean retry = attemptCount < route.maxAttempts() && mayRetry();
    if (retry) {
      callUpstream(lastForwardedEventId());
    } else if (mayHaveExecuted) {
      fail(reason, 502);
    } else {
      refuse(
          reason, "upstream full", upstreamChoice.earliestPauseEnd(rank).orElse(FULL_RETRY_AFTER));
    }
  }

  @Override
  public void onIncomplete(UpstreamInstance upstream, String reason) {
    mayHaveExecuted = true;
    String subject = trialSubject;
    if (subject != null) {
      components.crashGuard().trialFailed(subject);
    }
    boolean repeatable =
        route.repeatable()
            && answerStream.events().resumable()
            && subject == null
            && components.crashGuard().mayRepeat(crashSubjects);
    if (repeatable && attemptCount < route.maxAttempts() && mayRetry()) {
      callUpstream(lastForwardedEventId());
    } else {
      fail(reason, 502);
    }
  }

  @Override
  public boolean onServerError(int status) {
    if (route.kind() != RequestKind.IDEMPOTENT
        || attemptCount >= route.maxAttempts()
        || !mayRetry()) {
      return false;
    }
    mayHaveExecuted = true;
    callUpstream(null);
    return true;
  }

  private boolean mayRetry() {
    if (retryGranted) {
      retryGranted = false;
      return true;
    }
    boolean retryAllowed = components.retryBudget().tryTake(serviceName, components.loop().now());
    if (retryAllowed) {
      components.metrics().attemptRetried(serviceName);
    }
    return retryAllowed;
  }

  private @Nullable String lastForwardedEventId() {
    return answerStream.started() ? answerStream.events().lastId() : null;
  }

  private void onTimeout() {
    if (requestEnded) {
      return;
    }
    UpstreamAttempt currentAttempt = attempt;
    if (mayHaveExecuted || (currentAttempt != null && currentAttempt.mayHaveBeenSent())) {
      fail("no whole answer within " + route.timeout().toMillis() + " ms", 504);
    } else {
      refuse("time is up before an upstream was reached", "time is up", null);
    }
  }

  /** Ends the request because the process stops: a refusal if it wasn't sent, otherwise a 502. */
  void endForStop() {
    guard.run(
        () -> {
          if (mayHaveExecuted || sent) {
            fail(STOP_REASON, 502);
          } else {
            refuse(STOP_REASON, STOP_METRIC_REASON, STOP_RETRY_AFTER);
          }
        });
  }

  private void refuseForStop() {
    refuse(STOP_ADMISSION_REASON, STOP_METRIC_REASON, STOP_RETRY_AFTER);
  }

  private void refuse(String reason, String metricReason, @Nullable Duration retryAfter) {
    if (requestEnded) {
      return;
    }
    long now = components.loop().now();
    RequestAdmission.Parts parts = forecastParts;
    components
        .log()
        .event(GatewayEvent.REFUSED)
        .with("request", requestId())
        .with("route", route.name())
        .with("reason", reason)
        .with("status", 503)
        .with("stages_ms", parts == null ? null : parts.stagesMillis())
        .with("first_byte_ms", parts == null ? null : parts.firstByteMillis())
        .with("correction_ms", parts == null ? null : parts.correctionMillis())
        .with("ms", GatewayComponents.millisBetween(startedAt, now))
        .with("retry_after_ms", retryAfter == null ? null : retryAfter.toMillis())
        .write();
    components.metrics().requestRefused(metricReason);
    finish("refused", () -> replyWithoutBody(503, retryAfter));
  }

  private void fail(String reason, int status) {
    if (requestEnded) {
      return;
    }
    logRequestEnd(GatewayEvent.FAILED, reason, status);
    if (exchange.streaming()) {
      finish("failed", exchange::abort);
    } else {
      finish("failed", () -> replyWithoutBody(status, null));
    }
  }

  private void replyWithoutBody(int status, @Nullable Duration retryAfter) {
    exchange.reply(
        status,
        components.dialect().gatewayAnswerHeaders(intent.attemptId(), retryAfter),
        EMPTY_BODY);
  }

  /** Ends the request after one of its steps has thrown, which may have been its end itself. */
  private void endAfterFailedStep() {
    int status = mayHaveExecuted || sent ? 500 : 503;
    try {
      if (!requestEnded) {
        logRequestEnd(GatewayEvent.FAILED, "its processing failed", status);
        finish("failed", () -> exchange.endAfterFailure(status));
      }
    } finally {
      exchange.endAfterFailure(status);
    }
  }

  private void logRequestEnd(GatewayEvent event, String reason, int status) {
    components
        .log()
        .event(event)
        .with("request", requestId())
        .with("route", route.name())
        .with("reason", reason)
        .with("status", status)
        .with("attempts", attemptCount)
        .with("first_byte_ms", firstByteMillis < 0 ? null : firstByteMillis)
        .with("ms", GatewayComponents.millisBetween(startedAt, components.loop().now()))
        .write();
  }

  private void onCallerLeft() {
    if (!requestEnded) {
      logRequestEnd(GatewayEvent.CALLER_GONE, "the caller closed its connection", 0);
      finish("caller_gone", () -> {});
    }
  }

  /** Releases everything that the request holds, and ends its exchange. */
  private void finish(String outcome, Runnable endExchange) {
    requestEnded = true;
    onEnd.accept(this);
    // Comes before what else may fail: a request that is answered with 503 must not be sent later.
    UpstreamAttempt currentAttempt = attempt;
    if (currentAttempt != null) {
      currentAttempt.cancel();
    }
    components.crashGuard().requestEnded(this);
    timers.forEach(EventLoop.Timer::cancel);
    cancelStages();
    components.metrics().requestEnded(route.name(), outcome);
    try {
      endExchange.run();
    } catch (AnswerStateException e) {
      components
          .log()
          .event(GatewayEvent.ANSWER_MISPLACED)
          .with("request", requestId())
          .with("route", route.name())
          .cause(e)
          .write();
    }
    // Not reached if anything else was thrown; the guard then ends the exchange with an answer.
    exchange.abort();
  }

  private void cancelStages() {
    StageRun currentRun = stageRun;
    if (currentRun != null) {
      stageRun = null;
      currentRun.cancel();
    }
  }
}
