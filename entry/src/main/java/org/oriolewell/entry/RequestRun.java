package org.oriolewell.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.core.result.Failure;
import org.oriolewell.core.result.Outcome;
import org.oriolewell.core.result.ProblemKind;
import org.oriolewell.core.result.Refusal;
import org.oriolewell.core.result.RequestAction;
import org.oriolewell.core.result.RequestEvent;
import org.oriolewell.core.result.RequestMachine;
import org.oriolewell.core.result.RequestPlan;
import org.oriolewell.core.result.StageCall;
import org.oriolewell.core.routing.CallResult;
import org.oriolewell.runtime.log.RuntimeEvent;
import org.oriolewell.runtime.wire.Message;

/**
 * Executes one request: reports the messages of agents, elapsed timers and the caller's
 * disconnection to its {@link RequestMachine} and carries out the actions that the machine returns.
 * Events from all threads are processed one at a time, in order of arrival, by the thread that adds
 * one to an empty queue.
 */
final class RequestRun {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String id;
  private final CallerRequest request;
  private final RequestContext context;
  private final RequestMachine machine;
  private final Instant arrivedAt;
  private final CompletableFuture<Ending> ending = new CompletableFuture<>();
  private final TokenLog tokenLog = new TokenLog();
  private final Queue<Runnable> pendingTasks = new ConcurrentLinkedQueue<>();
  private final AtomicInteger pendingTaskCount = new AtomicInteger();

  /**
   * All calls sent for this request, also ended ones, so that a START that arrives late is denied.
   */
  private final Map<StageCall, OpenCall> sentCalls = new HashMap<>();

  /** Calls that have been sent and have not ended. */
  private final Map<StageCall, OpenCall> openCalls = new HashMap<>();

  /**
   * For each received frame of tokens that has not been read, the position after its last token.
   */
  private final Deque<Long> unreadFrameEnds = new ArrayDeque<>();

  private final StringBuilder generatedText = new StringBuilder();

  /** Output of the last answered stage, which is part of the next stage's input. */
  private JsonNode stageOutput = NullNode.getInstance();

  /** Output of the current call, before the state machine has accepted it. */
  private JsonNode receivedOutput = NullNode.getInstance();

  private @Nullable Future<?> deadlineTimer;

  /**
   * Position after the last token that was written to the caller or added to the generated text.
   */
  private long readPosition;

  /** Number of read frames for which no credit has been returned to the agent yet. */
  private int creditsToReturn;

  /** A call that was sent to an agent, with the times that its router needs. */
  private static final class OpenCall {
    final AgentLink link;
    final long streamId;
    final PoolRouter router;
    final Instant sentAt;
    @Nullable Instant firstTokenAt;

    OpenCall(AgentLink link, long streamId, PoolRouter router, Instant sentAt) {
      this.link = link;
      this.streamId = streamId;
      this.router = router;
      this.sentAt = sentAt;
      router.started(link.name());
    }

    /**
     * Reports to the pool's router how the call ended and its latency, to the first token if there
     * is one.
     */
    void finish(CallResult result, Instant now) {
      Instant firstToken = firstTokenAt;
      long latencyNanos = Duration.between(sentAt, firstToken == null ? now : firstToken).toNanos();
      router.finished(link.name(), result, latencyNanos);
    }
  }

  RequestRun(String id, CallerRequest request, RequestContext context) {
    this.id = id;
    this.request = request;
    this.context = context;
    this.arrivedAt = context.clock().instant();
    RequestPlan plan =
        new RequestPlan(
            id,
            request.spec().stages().stream().map(RequestRun::planStage).toList(),
            arrivedAt.plus(request.deadline()),
            request.key(),
            context.timing());
    machine =
        RequestMachine.of(
            plan,
            context.retryBudgets().forRequest(request.pipeline(), request.spec().stages().size()),
            context.keySupplier(),
            context.random());
  }

  private static RequestPlan.Stage planStage(StageSpec stage) {
    return new RequestPlan.Stage(stage.name(), stage.idempotent(), stage.model() != null);
  }

  String id() {
    return id;
  }

  /** Returns the tokens of the last stage; empty unless the caller asked for a stream. */
  TokenLog tokenLog() {
    return tokenLog;
  }

  /** Completes when the request ends; never fails. */
  CompletableFuture<Ending> ending() {
    return ending;
  }

  /** Starts the deadline timer and the first stage. */
  void start() {
    deadlineTimer =
        context
            .timers()
            .schedule(
                () -> postEvent(new RequestEvent.DeadlinePassed()),
                request.deadline().toNanos(),
                TimeUnit.NANOSECONDS);
    postEvent(new RequestEvent.Begin());
  }

  /** Ends the request because its caller disconnected before it had the whole answer. */
  void callerLeft() {
    postEvent(new RequestEvent.CallerLeft());
  }

  /**
   * Records that all tokens before a position were written to the caller, which returns credit to
   * the agent.
   */
  void tokensTaken(long position) {
    submit(
        () -> {
          readPosition = Math.max(readPosition, position);
          returnCredits();
        });
  }

  private void postEvent(RequestEvent event) {
    submit(() -> apply(event));
  }

  private void submit(Runnable task) {
    pendingTasks.add(task);
    if (pendingTaskCount.getAndIncrement() != 0) {
      return;
    }
    do {
      runOrRefuse(pendingTasks.remove());
    } while (pendingTaskCount.decrementAndGet() != 0);
  }

  /** Runs a task; if it throws, refuses the request, so that the caller gets an answer. */
  private void runOrRefuse(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      context.log().event(RuntimeEvent.HANDLER_FAILED).with("request", id).cause(e).write();
      if (!ending.isDone()) {
        refuse(
            new Failure(
                ProblemKind.UPSTREAM_FAILED, Outcome.UNKNOWN, "the entry failed; report it", 0));
      }
    }
  }

  private void apply(RequestEvent event) {
    List<RequestAction> actions = machine.on(event, context.clock().instant());
    actions.forEach(action -> perform(action, event));
  }

  private void perform(RequestAction action, RequestEvent cause) {
    if (action instanceof RequestAction.Dispatch a) {
      dispatch(a);
    } else if (action instanceof RequestAction.Wait a) {
      context
          .timers()
          .schedule(
              () -> postEvent(new RequestEvent.DelayElapsed(a.call())),
              a.delay().toNanos(),
              TimeUnit.NANOSECONDS);
    } else if (action instanceof RequestAction.Grant a) {
      sentCall(a.call()).ifPresent(sent -> sent.link.send(new Message.Grant(sent.streamId)));
    } else if (action instanceof RequestAction.Deny a) {
      sentCall(a.call()).ifPresent(sent -> sent.link.send(new Message.Deny(sent.streamId)));
    } else if (action instanceof RequestAction.Cancel a) {
      cancel(a.call(), cause);
    } else if (action instanceof RequestAction.Emit a) {
      emit(a);
    } else if (action instanceof RequestAction.Accept) {
      accept();
    } else if (action instanceof RequestAction.Complete a) {
      end(new Ending.Answer(stageOutput, a.tokenCount(), a.stages()), "answered");
    } else if (action instanceof RequestAction.Fail a) {
      refuse(a.failure());
    } else if (action instanceof RequestAction.Abandon) {
      end(new Ending.CallerLeft(), "left");
    } else if (action instanceof RequestAction.Stale a) {
      recordStale(a);
    }
  }

  private Optional<OpenCall> sentCall(StageCall call) {
    return Optional.ofNullable(sentCalls.get(call));
  }

  private StageSpec stage(StageCall call) {
    return request.spec().stages().get(call.stage());
  }

  private void dispatch(RequestAction.Dispatch dispatch) {
    StageCall call = dispatch.call();
    if (call.attempt() > 0) {
      context.metrics().retried(request.pipeline());
    }
    unreadFrameEnds.clear();
    creditsToReturn = 0;
    Duration remaining = request.deadline().minus(Duration.between(arrivedAt, now()));
    StagePlanner.Plan plan = context.stagePlanner().plan(request, call.stage(), remaining);
    if (!plan.reachable() && onlyIdempotentBefore(call.stage())) {
      apply(new RequestEvent.Unreachable(call));
      return;
    }
    byte[] payload = payload();
    AgentLink link = context.router().route(dispatch, request, payload.length).orElse(null);
    if (link == null) {
      apply(new RequestEvent.NotSent(call));
    } else {
      send(dispatch, link, payload, plan.timeLimit());
    }
  }

  private Instant now() {
    return context.clock().instant();
  }

  /**
   * Returns whether all stages before the given one are idempotent, so that the outcome can be
   * {@code not_run}.
   */
  private boolean onlyIdempotentBefore(int stage) {
    return request.spec().stages().subList(0, stage).stream().allMatch(StageSpec::idempotent);
  }

  private void send(
      RequestAction.Dispatch dispatch, AgentLink link, byte[] payload, Duration timeLimit) {
    StageCall call = dispatch.call();
    OptionalLong streamId;
    try {
      streamId =
          link.call(
              newStreamId -> message(dispatch, newStreamId, payload, timeLimit),
              new Listener(call));
    } catch (IllegalArgumentException e) {
      apply(new RequestEvent.Refused(call, tooLarge(e)));
      return;
    }
    if (streamId.isEmpty()) {
      apply(new RequestEvent.NotSent(call));
      return;
    }
    PoolRouter router = context.agents().router(stage(call).pool());
    OpenCall open = new OpenCall(link, streamId.getAsLong(), router, now());
    sentCalls.put(call, open);
    openCalls.put(call, open);
    apply(new RequestEvent.Sent(call, link.name()));
  }

  /**
   * Cancels a call. A call without a token by the request's deadline counts as a failure of its
   * agent.
   */
  private void cancel(StageCall call, RequestEvent cause) {
    OpenCall open = openCalls.remove(call);
    if (open == null) {
      return;
    }
    open.link.cancel(open.streamId);
    boolean agentNotAtFault =
        cause instanceof RequestEvent.CallerLeft
            || (cause instanceof RequestEvent.DeadlinePassed && open.firstTokenAt != null);
    open.finish(agentNotAtFault ? CallResult.CANCELED : CallResult.FAILED, now());
  }

  /** Records the result of a call, unless the call has already ended. */
  private void finishCall(StageCall call, CallResult result) {
    OpenCall open = openCalls.remove(call);
    if (open != null) {
      open.finish(result, now());
      if (result == CallResult.ANSWERED) {
        context
            .stagePlanner()
            .observed(request, call.stage(), Duration.between(open.sentAt, now()));
      }
    }
  }

  private static Refusal tooLarge(IllegalArgumentException cause) {
    return new Refusal(
        Refusal.Kind.INVALID,
        Outcome.NOT_RUN,
        "the stage's input is too large (" + cause.getMessage() + "); send less",
        0);
  }

  private Message.Call message(
      RequestAction.Dispatch dispatch, long streamId, byte[] payload, Duration timeLimit) {
    StageSpec stage = stage(dispatch.call());
    boolean streaming = stage.model() != null;
    return new Message.Call(
        streamId,
        id,
        dispatch.call().stage(),
        dispatch.call().attempt(),
        request.workspace(),
        request.firm(),
        request.pipeline(),
        request.priority(),
        Math.max(1, timeLimit.toMillis()),
        stage.operation(),
        stage.idempotent(),
        dispatch.key(),
        request.fingerprint(),
        dispatch.resumeFrom(),
        streaming ? context.credits() : 0,
        streaming,
        payload);
  }

  private byte[] payload() {
    ObjectNode payload = JSON.createObjectNode();
    payload.set("input", request.input());
    payload.set("context", stageOutput);
    try {
      return JSON.writeValueAsBytes(payload);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a stage's input cannot be written as JSON", e);
    }
  }

  private boolean isStreamedToCaller(StageCall call) {
    return request.stream() && call.stage() == request.spec().stages().size() - 1;
  }

  private void emit(RequestAction.Emit emit) {
    unreadFrameEnds.add(emit.position() + emit.items().size());
    if (isStreamedToCaller(emit.call())) {
      tokenLog.add(emit.items());
    } else {
      emit.items().forEach(generatedText::append);
      readPosition = emit.position() + emit.items().size();
    }
    returnCredits();
  }

  /**
   * Returns credit to the agent for frames that were read, in batches of half the credits of a
   * stream.
   */
  private void returnCredits() {
    while (!unreadFrameEnds.isEmpty() && unreadFrameEnds.peek() <= readPosition) {
      unreadFrameEnds.remove();
      creditsToReturn++;
    }
    if (creditsToReturn * 2 < context.credits() || machine.isDone()) {
      return;
    }
    for (OpenCall open : openCalls.values()) {
      open.link.send(new Message.Credit(open.streamId, creditsToReturn));
    }
    creditsToReturn = 0;
  }

  private void accept() {
    stageOutput = receivedOutput;
    generatedText.setLength(0);
    readPosition = 0;
    unreadFrameEnds.clear();
  }

  private void refuse(Failure failure) {
    EntryEvent event =
        failure.outcome() == Outcome.UNKNOWN
            ? EntryEvent.REQUEST_UNKNOWN
            : EntryEvent.REQUEST_REFUSED;
    context
        .log()
        .event(event)
        .with("request", id)
        .with("pipeline", request.pipeline())
        .with("workspace", request.workspace())
        .with("kind", failure.kind().apiName())
        .with("outcome", failure.outcome().apiName())
        .with("detail", failure.detail())
        .write();
    end(new Ending.Refusal(failure), failure.kind().apiName());
  }

  private void end(Ending requestEnding, String resultLabel) {
    Future<?> timer = deadlineTimer;
    if (timer != null) {
      timer.cancel(false);
    }
    for (OpenCall open : openCalls.values()) {
      open.link.forget(open.streamId);
      open.finish(CallResult.FAILED, now());
    }
    openCalls.clear();
    context
        .metrics()
        .ended(
            request.pipeline(),
            resultLabel,
            Duration.between(arrivedAt, context.clock().instant()));
    tokenLog.end(requestEnding);
    ending.complete(requestEnding);
  }

  private void recordStale(RequestAction.Stale stale) {
    context.metrics().countStaleMessage();
    context
        .log()
        .event(EntryEvent.STALE_MESSAGE)
        .with("request", id)
        .with("stage", stale.call().stage())
        .with("attempt", stale.call().attempt())
        .with("message", stale.message())
        .write();
  }

  /** Reports an agent's messages about one call to the state machine as events. */
  private final class Listener implements CallListener {
    private final StageCall call;

    Listener(StageCall call) {
      this.call = call;
    }

    @Override
    public void onMessage(Message message) {
      submit(() -> handle(message));
    }

    @Override
    public void onConnectionLost(String detail) {
      submit(
          () -> {
            finishCall(call, CallResult.FAILED);
            apply(new RequestEvent.ConnectionLost(call, detail));
          });
    }

    private void handle(Message message) {
      if (message instanceof Message.Start) {
        apply(new RequestEvent.StartRequested(call));
      } else if (message instanceof Message.Tokens m) {
        handleTokens(m);
      } else if (message instanceof Message.Result m) {
        handleResult(m);
      } else if (message instanceof Message.Refused m) {
        finishCall(call, callResult(m.kind()));
        apply(new RequestEvent.Refused(call, refusal(m)));
      }
    }

    private void handleTokens(Message.Tokens frame) {
      OpenCall open = openCalls.get(call);
      if (open != null && open.firstTokenAt == null) {
        open.firstTokenAt = now();
      }
      if (open != null && unreadFrameEnds.size() + creditsToReturn >= context.credits()) {
        open.link.cancel(open.streamId);
        finishCall(call, CallResult.FAILED);
        apply(
            new RequestEvent.InvalidAnswer(
                call, "the agent sent more frames than it had credit for"));
        return;
      }
      apply(new RequestEvent.Tokens(call, frame.position(), frame.items()));
    }

    private void handleResult(Message.Result result) {
      try {
        receivedOutput =
            stage(call).model() != null ? generationOutput(result) : parseOutput(result.payload());
        finishCall(call, CallResult.ANSWERED);
        apply(new RequestEvent.Answered(call, result.count()));
      } catch (IOException e) {
        finishCall(call, CallResult.FAILED);
        apply(
            new RequestEvent.InvalidAnswer(
                call, "the agent's answer is not JSON; check its upstream"));
      }
    }

    private JsonNode generationOutput(Message.Result result) {
      return JSON.createObjectNode()
          .put("text", generatedText.toString())
          .put("tokens", result.count());
    }

    private JsonNode parseOutput(byte[] payload) throws IOException {
      JsonNode node = JSON.readTree(payload);
      if (node == null || node.isMissingNode()) {
        throw new IOException("the payload is empty");
      }
      return node;
    }
  }

  private static CallResult callResult(Message.RefusalKind kind) {
    return switch (kind) {
      case OVERLOADED, DEADLINE_UNREACHABLE, DEADLINE_EXCEEDED -> CallResult.REFUSED;
      case UPSTREAM_FAILED, OUTCOME_UNKNOWN, INVALID -> CallResult.FAILED;
      case STOPPING, NOT_OWNER, KEY_CONFLICT, KEY_TIME, STORE_UNAVAILABLE, CANCELED ->
          CallResult.CANCELED;
    };
  }

  private static Refusal refusal(Message.Refused refused) {
    return new Refusal(
        Refusal.Kind.valueOf(refused.kind().name()),
        Outcome.valueOf(refused.outcome().name()),
        refused.detail(),
        refused.retryAfterMillis());
  }
}
