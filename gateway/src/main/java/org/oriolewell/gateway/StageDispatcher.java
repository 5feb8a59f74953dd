package org.oriolewell.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.eligibility.CallScope;
import org.oriolewell.core.eligibility.Eligibility;
import org.oriolewell.core.eligibility.EligibilityCheck;
import org.oriolewell.core.eligibility.EligibleUpstream;
import org.oriolewell.core.eligibility.Reason;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.StageService;
import org.oriolewell.core.stage.PieceOutcome;
import org.oriolewell.core.stage.StageCall;
import org.oriolewell.core.stage.StageLoad;
import org.oriolewell.core.stage.StageQueue;
import org.oriolewell.core.stage.StageWork;
import org.oriolewell.core.upstream.UpstreamStatement;
import org.oriolewell.gateway.StageDialect.MalformedAnswerException;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Dispatches the stages of one service in one region: sends the calls that a {@link StageQueue}
 * schedules to upstreams, and frees stage results. Used on the event loop only.
 */
final class StageDispatcher {
  /** Time for which the handles of results to free are collected into one call. */
  private static final Duration RELEASE_BATCH_DELAY = Duration.ofMillis(5);

  /** Largest answer of a stage upstream: one handle of under 100 bytes for each piece of a call. */
  private static final long MAX_STAGE_ANSWER_BYTES = 256 << 10;

  private static final String MAX_STAGE_ANSWER_BYTES_NAME = "MAX_STAGE_ANSWER_BYTES";

  /** Time-out of a call that frees results. */
  private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(1000);

  /** Time-out of a call, as a multiple of the time after which it is repeated elsewhere. */
  private static final int TIMEOUT_FACTOR = 4;

  private final EventLoop loop;
  private final UpstreamClient client;
  private final StageDialect dialect;
  private final UpstreamStatements statements;
  private final EventLog log;
  private final String service;
  private final StageQueue queue;
  private final EligibilityCheck eligibility;
  private final CallScope scope;
  private final BiConsumer<StageWork, List<PieceOutcome>> outcomeListener;
  private final Map<String, UpstreamInstance> upstreamsByAddress = new HashMap<>();
  private final Map<String, List<String>> handlesToRelease = new LinkedHashMap<>();
  private boolean releaseScheduled;

  StageDispatcher(
      EventLoop loop,
      UpstreamClient client,
      StageDialect dialect,
      UpstreamStatements statements,
      EventLog log,
      String service,
      StageService stageService,
      EligibilityCheck eligibility,
      CallScope scope,
      Predicate<UpstreamInstance> permitsMissing,
      BiConsumer<StageWork, List<PieceOutcome>> outcomeListener) {
    this.loop = loop;
    this.client = client;
    this.dialect = dialect;
    this.statements = statements;
    this.log = log;
    this.service = service;
    this.queue = StageQueue.create(service, stageService);
    this.eligibility = eligibility;
    this.scope = scope;
    this.outcomeListener = outcomeListener;
    queue.callRule(
        (upstream, now) ->
            permitsMissing.test(upstream)
                ? new Eligibility.Blocked(Reason.COLD, Duration.ZERO)
                : eligibility.check(upstream, scope, now));
  }

  /** Replaces the upstreams that calls are sent to. */
  void upstreams(Collection<UpstreamInstance> instances) {
    queue.replaceUpstreams(instances, loop.now());
    instances.forEach(instance -> upstreamsByAddress.put(instance.address().toString(), instance));
    sendNextCalls();
  }

  /** Queues the pieces of a stage and sends the calls that are due. */
  void submit(StageWork work) {
    queue.add(work, loop.now());
    sendNextCalls();
  }

  /** Counts work as load that will be submitted once its inputs exist. */
  void announce(String origin, long ticket, int rank, long resultBytes, int pieces) {
    queue.announce(origin, ticket, rank, resultBytes, pieces, loop.now());
  }

  /** Cancels submitted or announced work. */
  void cancel(String origin, long ticket) {
    queue.cancel(origin, ticket);
  }

  /** Cancels all work of a gateway that is gone. */
  void cancelAll(String origin) {
    queue.cancelAll(origin);
  }

  /** Returns the waiting and running work, to be published to the gateways. */
  StageLoad load() {
    return queue.load(loop.now());
  }

  /** Returns whether no piece is waiting and no call is running. */
  boolean idle() {
    return queue.waitingPieces() == 0 && queue.runningCalls() == 0;
  }

  /** Repeats overdue calls and fails pieces whose deadline has passed. */
  void tick() {
    applyEffects(queue.tick(loop.now()));
  }

  private void sendNextCalls() {
    long now = loop.now();
    for (StageCall call : queue.nextCalls(now)) {
      sendCall(call, now);
    }
  }

  private void applyEffects(StageQueue.Effects effects) {
    effects.outcomes().forEach(outcomeListener);
    release(effects.unusedHandles());
    sendNextCalls();
  }

  private void sendCall(StageCall call, long now) {
    // The queue holds a permit where one is needed.
    Optional<EligibleUpstream> target = eligibility.clear(call.upstream(), scope, true, now);
    if (target.isEmpty()) {
      applyEffects(queue.failed(call.id(), true, now));
      return;
    }
    log.event(GatewayEvent.STAGE_CALL)
        .with("service", service)
        .with("call", call.id())
        .with("upstream", call.upstream().id())
        .with("pieces", call.items().size())
        .with("kept_bytes", queue.keptBytes(call.upstream().id()))
        .with("requests", call.items().stream().map(i -> i.work().requestId()).distinct().toList())
        .with("waiting", queue.waitingPieces())
        .write();
    statements.sent(call.upstream());
    new RunningCall(call, now).start(target.get());
  }

  /** A call that was sent to an upstream and waits for its answer. */
  private final class RunningCall extends BufferedAnswer {
    private final StageCall call;
    private final long startedAt;
    private UpstreamClient.@Nullable Call clientCall;
    private boolean callEnded;

    private RunningCall(StageCall call, long startedAt) {
      super(MAX_STAGE_ANSWER_BYTES, MAX_STAGE_ANSWER_BYTES_NAME);
      this.call = call;
      this.startedAt = startedAt;
    }

    private void start(EligibleUpstream target) {
      clientCall = client.send(target, dialect.runRequest(call, startedAt), this);
      Duration timeout = Duration.ofNanos(StageQueue.overdueAfterNanos(call) * TIMEOUT_FACTOR);
      loop.after(
          timeout,
          () -> {
            if (!callEnded) {
              failCall("no answer within " + timeout.toMillis() + " ms", false);
            }
          });
    }

    private void closeConnection() {
      UpstreamClient.Call currentCall = clientCall;
      if (currentCall != null) {
        currentCall.cancel();
      }
    }

    @Override
    public void onConnected() {
      if (!callEnded && !statements.stillEligible(eligibility, call.upstream(), scope, true)) {
        statements.withdrawn(call.upstream(), "call " + call.id());
        failCall("a rule blocks the upstream now, the call was not sent", true);
      }
    }

    @Override
    public void onHead(int answerStatus, HttpFields headers) {
      super.onHead(answerStatus, headers);
      recordStatement(call.upstream(), answerStatus, headers);
    }

    @Override
    public void onComplete() {
      if (callEnded) {
        return;
      }
      if (status() != HttpStatus.OK_200) {
        failCall("status " + status(), status() == 503 || status() == 429);
        return;
      }
      try {
        List<PieceOutcome> outcomes = dialect.decodeOutcomes(call, body());
        if (queue.repeatsResults(call.id(), outcomes)) {
          failCall("the answer repeats results of an earlier call", false);
          return;
        }
        callEnded = true;
        long doneCount =
            outcomes.stream().filter(o -> o.status() == PieceOutcome.Status.DONE).count();
        log.event(GatewayEvent.STAGE_CALL_ENDED)
            .with("service", service)
            .with("call", call.id())
            .with("ms", Duration.ofNanos(loop.now() - startedAt).toMillis())
            .with("expected_ms", call.expectedDuration().toMillis())
            .with("done", doneCount)
            .with("pieces", call.items().size())
            .write();
        applyEffects(queue.completed(call.id(), outcomes, loop.now()));
      } catch (MalformedAnswerException e) {
        failCall(String.valueOf(e.getMessage()), false);
      }
    }

    @Override
    public void onFailure(boolean mayHaveBeenSent, Throwable cause) {
      if (!callEnded) {
        failCall(cause.toString(), false);
      }
    }

    private void failCall(String failureReason, boolean refused) {
      callEnded = true;
      // A repeated answer to an earlier call looks the same: the true one may still follow.
      closeConnection();
      log.event(GatewayEvent.STAGE_CALL_ENDED)
          .with("service", service)
          .with("call", call.id())
          .with("upstream", call.upstream().id())
          .with("ms", Duration.ofNanos(loop.now() - startedAt).toMillis())
          .with("reason", failureReason)
          .write();
      applyEffects(queue.failed(call.id(), refused, loop.now()));
    }
  }

  private void recordStatement(UpstreamInstance upstream, int status, HttpFields headers) {
    UpstreamStatement statement = dialect.statement(status, headers);
    statements.statedToDispatcher(upstream, statement);
    OptionalDouble perSecond = statement.limitPerSecond();
    if (queue.limitStated(upstream.id(), perSecond)) {
      log.event(GatewayEvent.UPSTREAM_LIMITED)
          .with("upstream", upstream.id())
          .with("per_second", perSecond.isPresent() ? perSecond.getAsDouble() : null)
          .write();
    }
  }

  /** Frees results, together with others, after a short delay. */
  void release(List<String> handles) {
    for (String handle : handles) {
      handlesToRelease
          .computeIfAbsent(dialect.producerAddress(handle), a -> new ArrayList<>())
          .add(handle);
    }
    if (!handlesToRelease.isEmpty() && !releaseScheduled) {
      releaseScheduled = true;
      loop.after(RELEASE_BATCH_DELAY, this::sendReleases);
    }
  }

  private void sendReleases() {
    releaseScheduled = false;
    Map<String, List<String>> handlesByAddress = new LinkedHashMap<>(handlesToRelease);
    handlesToRelease.clear();
    handlesByAddress.forEach(
        (address, handles) -> {
          UpstreamInstance producer = upstreamsByAddress.get(address);
          long now = loop.now();
          if (producer != null && queue.takeReleasePermit(producer.id(), now)) {
            eligibility
                .clear(producer, scope, true, now)
                .ifPresent(target -> new ReleaseCall(target, handles).start());
          }
        });
  }

  /** A call that frees results. It is not repeated: results that are not freed expire. */
  private final class ReleaseCall extends BufferedAnswer {
    private final EligibleUpstream target;
    private final UpstreamInstance producer;
    private final List<String> handles;
    private UpstreamClient.@Nullable Call clientCall;
    private boolean callEnded;

    private ReleaseCall(EligibleUpstream target, List<String> handles) {
      super(MAX_STAGE_ANSWER_BYTES, MAX_STAGE_ANSWER_BYTES_NAME);
      this.target = target;
      this.producer = target.instance();
      this.handles = handles;
    }

    private void start() {
      statements.sent(producer);
      clientCall = client.send(target, dialect.releaseRequest(producer, handles), this);
      loop.after(
          RELEASE_TIMEOUT,
          () -> {
            if (!callEnded) {
              cancel();
              logReleaseFailure(producer, new IOException("no answer"));
            }
          });
    }

    private void cancel() {
      callEnded = true;
      UpstreamClient.Call currentCall = clientCall;
      if (currentCall != null) {
        currentCall.cancel();
      }
    }

    @Override
    public void onConnected() {
      if (!callEnded && !statements.stillEligible(eligibility, producer, scope, true)) {
        cancel();
        statements.withdrawn(producer, "release");
      }
    }

    @Override
    public void onHead(int answerStatus, HttpFields headers) {
      super.onHead(answerStatus, headers);
      recordStatement(producer, answerStatus, headers);
    }

    @Override
    public void onComplete() {
      callEnded = true;
      if (status() == HttpStatus.OK_200) {
        queue.freed(handles, loop.now());
        sendNextCalls();
      } else {
        logReleaseFailure(producer, new IOException("status " + status()));
      }
    }

    @Override
    public void onFailure(boolean mayHaveBeenSent, Throwable cause) {
      callEnded = true;
      logReleaseFailure(producer, cause);
    }
  }

  private void logReleaseFailure(UpstreamInstance producer, Throwable cause) {
    // The upstream drops the results by itself when they expire; until then they occupy space.
    log.event(GatewayEvent.UPSTREAM_FAILED)
        .with("service", service)
        .with("upstream", producer.id())
        .with("call", "release")
        .cause(cause)
        .write();
  }
}
