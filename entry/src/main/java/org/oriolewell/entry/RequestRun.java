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
 * Executes one request: feeds its {@link RequestMachine} with what agents, timers and the caller do
 * and carries out the machine's actions. Events of all threads are taken one at a time, in order of
 * arrival, by whichever thread finds the queue idle.
 */
final class RequestRun {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String id;
  private final CallerRequest request;
  private final RunContext context;
  private final RequestMachine machine;
  private final Instant arrival;
  private final CompletableFuture<Ending> ending = new CompletableFuture<>();
  private final TokenLog tokens = new TokenLog();
  private final Queue<Runnable> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger waiting = new AtomicInteger();

  /** All calls ever sent, so that a START that comes late can still be denied. */
  private final Map<StageCall, OpenCall> sent = new HashMap<>();

  private final Map<StageCall, OpenCall> calls = new HashMap<>();
  private final Deque<Long> unreadFrames = new ArrayDeque<>();
  private final StringBuilder text = new StringBuilder();
  private JsonNode output = NullNode.getInstance();
  private JsonNode received = NullNode.getInstance();
  private @Nullable Future<?> deadlineTimer;
  private long readPosition;
  private int owedCredits;

  /** A call that was sent. */
  private static final class OpenCall {
    final AgentLink link;
    final long stream;
    final PoolRouter router;
    final Instant sentAt;
    @Nullable Instant firstTokenAt;

    OpenCall(AgentLink link, long stream, PoolRouter router, Instant sentAt) {
      this.link = link;
      this.stream = stream;
      this.router = router;
      this.sentAt = sentAt;
      router.started(link.name());
    }

    /** Tells the router how the call ended. */
    void finish(CallResult result, Instant now) {
      Instant first = firstTokenAt;
      long nanos = Duration.between(sentAt, first == null ? now : first).toNanos();
      router.finished(link.name(), result, nanos);
    }
  }

  RequestRun(String id, CallerRequest request, RunContext context) {
    this.id = id;
    this.request = request;
    this.context = context;
    this.arrival = context.clock().instant();
    RequestPlan plan =
        new RequestPlan(
            id,
            request.spec().stages().stream().map(RequestRun::planned).toList(),
            arrival.plus(request.deadline()),
            request.key(),
            context.timing());
    machine =
        RequestMachine.of(
            plan,
            context.budgets().forRequest(request.pipeline(), request.spec().stages().size()),
            context.keys(),
            context.random());
  }

  private static RequestPlan.Stage planned(StageSpec stage) {
    return new RequestPlan.Stage(stage.name(), stage.idempotent(), stage.model() != null);
  }

  String id() {
    return id;
  }

  /** Returns the tokens of the last stage, if the caller wants a stream. */
  TokenLog tokens() {
    return tokens;
  }

  /** Completes when the request ends; never fails. */
  CompletableFuture<Ending> ending() {
    return ending;
  }

  /** Starts the first stage and the deadline. */
  void start() {
    deadlineTimer =
        context
            .timers()
            .schedule(
                () -> post(new RequestEvent.DeadlinePassed()),
                request.deadline().toNanos(),
                TimeUnit.NANOSECONDS);
    post(new RequestEvent.Begin());
  }

  /** Ends the request, since nobody waits for its answer. */
  void callerLeft() {
    post(new RequestEvent.CallerLeft());
  }

  /** Notes that the caller has taken all tokens before a position, so that more may be sent. */
  void taken(long position) {
    submit(
        () -> {
          readPosition = Math.max(readPosition, position);
          returnCredits();
        });
  }

  private void post(RequestEvent event) {
    submit(() -> apply(event));
  }

  private void submit(Runnable task) {
    queue.add(task);
    if (waiting.getAndIncrement() != 0) {
      return;
    }
    do {
      runOrFail(queue.remove());
    } while (waiting.decrementAndGet() != 0);
  }

  /** A defect must not leave the caller without an answer. */
  private void runOrFail(Runnable task) {
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
              () -> post(new RequestEvent.DelayElapsed(a.call())),
              a.delay().toNanos(),
              TimeUnit.NANOSECONDS);
    } else if (action instanceof RequestAction.Grant a) {
      sent(a.call()).ifPresent(to -> to.link.send(new Message.Grant(to.stream)));
    } else if (action instanceof RequestAction.Deny a) {
      sent(a.call()).ifPresent(to -> to.link.send(new Message.Deny(to.stream)));
    } else if (action instanceof RequestAction.Cancel a) {
      cancel(a.call(), cause);
    } else if (action instanceof RequestAction.Emit a) {
      emit(a);
    } else if (action instanceof RequestAction.Accept) {
      accept();
    } else if (action instanceof RequestAction.Complete a) {
      end(new Ending.Answer(output, a.tokenCount(), a.stages()), "answered");
    } else if (action instanceof RequestAction.Fail a) {
      refuse(a.failure());
    } else if (action instanceof RequestAction.Abandon) {
      end(new Ending.Left(), "left");
    } else if (action instanceof RequestAction.Stale a) {
      stale(a);
    }
  }

  private Optional<OpenCall> sent(StageCall call) {
    return Optional.ofNullable(sent.get(call));
  }

  private StageSpec stage(StageCall call) {
    return request.spec().stages().get(call.stage());
  }

  private void dispatch(RequestAction.Dispatch dispatch) {
    StageCall call = dispatch.call();
    if (call.attempt() > 0) {
      context.metrics().retried(request.pipeline());
    }
    unreadFrames.clear();
    owedCredits = 0;
    Duration remaining = request.deadline().minus(Duration.between(arrival, now()));
    StagePlanner.Plan plan = context.planner().plan(request, call.stage(), remaining);
    if (!plan.reachable() && mayStillNotRun(call.stage())) {
      apply(new RequestEvent.Unreachable(call));
      return;
    }
    byte[] payload = payload();
    AgentLink link = context.router().route(dispatch, request, payload.length).orElse(null);
    if (link == null) {
      apply(new RequestEvent.NotSent(call));
    } else {
      send(dispatch, link, payload, plan.time());
    }
  }

  private Instant now() {
    return context.clock().instant();
  }

  /** Returns whether no non-idempotent stage comes before a stage. */
  private boolean mayStillNotRun(int stage) {
    return request.spec().stages().subList(0, stage).stream().allMatch(StageSpec::idempotent);
  }

  private void send(
      RequestAction.Dispatch dispatch, AgentLink link, byte[] payload, Duration time) {
    StageCall call = dispatch.call();
    OptionalLong stream;
    try {
      stream = link.call(number -> message(dispatch, number, payload, time), new Listener(call));
    } catch (IllegalArgumentException e) {
      apply(new RequestEvent.Refused(call, tooLarge(e)));
      return;
    }
    if (stream.isEmpty()) {
      apply(new RequestEvent.NotSent(call));
      return;
    }
    PoolRouter router = context.agents().router(stage(call).pool());
    OpenCall open = new OpenCall(link, stream.getAsLong(), router, now());
    sent.put(call, open);
    calls.put(call, open);
    apply(new RequestEvent.Sent(call, link.name()));
  }

  /** Cancels a call; one that has sent nothing until the deadline counts as a failure. */
  private void cancel(StageCall call, RequestEvent cause) {
    OpenCall open = calls.remove(call);
    if (open == null) {
      return;
    }
    open.link.cancel(open.stream);
    boolean blameless =
        cause instanceof RequestEvent.CallerLeft
            || (cause instanceof RequestEvent.DeadlinePassed && open.firstTokenAt != null);
    open.finish(blameless ? CallResult.CANCELED : CallResult.FAILED, now());
  }

  /** Notes that a call ended, unless that is noted already. */
  private void ended(StageCall call, CallResult result) {
    OpenCall open = calls.remove(call);
    if (open != null) {
      open.finish(result, now());
      if (result == CallResult.ANSWERED) {
        context.planner().observed(request, call.stage(), Duration.between(open.sentAt, now()));
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
      RequestAction.Dispatch dispatch, long stream, byte[] payload, Duration time) {
    StageSpec stage = stage(dispatch.call());
    boolean streaming = stage.model() != null;
    return new Message.Call(
        stream,
        id,
        dispatch.call().stage(),
        dispatch.call().attempt(),
        request.workspace(),
        request.firm(),
        request.pipeline(),
        request.priority(),
        Math.max(1, time.toMillis()),
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
    payload.set("context", output);
    try {
      return JSON.writeValueAsBytes(payload);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a stage's input cannot be written as JSON", e);
    }
  }

  private boolean isForCaller(StageCall call) {
    return request.stream() && call.stage() == request.spec().stages().size() - 1;
  }

  private void emit(RequestAction.Emit emit) {
    unreadFrames.add(emit.position() + emit.items().size());
    if (isForCaller(emit.call())) {
      tokens.add(emit.items());
    } else {
      emit.items().forEach(text::append);
      readPosition = emit.position() + emit.items().size();
    }
    returnCredits();
  }

  /** Gives the agent credit for frames that were read, half a window at a time. */
  private void returnCredits() {
    while (!unreadFrames.isEmpty() && unreadFrames.peek() <= readPosition) {
      unreadFrames.remove();
      owedCredits++;
    }
    if (owedCredits * 2 < context.credits() || machine.isDone()) {
      return;
    }
    for (OpenCall open : calls.values()) {
      open.link.send(new Message.Credit(open.stream, owedCredits));
    }
    owedCredits = 0;
  }

  private void accept() {
    output = received;
    text.setLength(0);
    readPosition = 0;
    unreadFrames.clear();
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

  private void end(Ending how, String result) {
    Future<?> timer = deadlineTimer;
    if (timer != null) {
      timer.cancel(false);
    }
    for (OpenCall open : calls.values()) {
      open.link.forget(open.stream);
      open.finish(CallResult.FAILED, now());
    }
    calls.clear();
    context
        .metrics()
        .ended(request.pipeline(), result, Duration.between(arrival, context.clock().instant()));
    tokens.end(how);
    ending.complete(how);
  }

  private void stale(RequestAction.Stale stale) {
    context.metrics().stale();
    context
        .log()
        .event(EntryEvent.STALE_MESSAGE)
        .with("request", id)
        .with("stage", stale.call().stage())
        .with("attempt", stale.call().attempt())
        .with("message", stale.message())
        .write();
  }

  /** Turns the messages of one call into events. */
  private final class Listener implements CallListener {
    private final StageCall call;

    Listener(StageCall call) {
      this.call = call;
    }

    @Override
    public void onMessage(Message message) {
      submit(() -> read(message));
    }

    @Override
    public void onLost(String detail) {
      submit(
          () -> {
            ended(call, CallResult.FAILED);
            apply(new RequestEvent.ConnectionLost(call, detail));
          });
    }

    private void read(Message message) {
      if (message instanceof Message.Start) {
        apply(new RequestEvent.StartRequested(call));
      } else if (message instanceof Message.Tokens m) {
        tokens(m);
      } else if (message instanceof Message.Result m) {
        result(m);
      } else if (message instanceof Message.Refused m) {
        ended(call, callResult(m.kind()));
        apply(new RequestEvent.Refused(call, refusal(m)));
      }
    }

    private void tokens(Message.Tokens frame) {
      OpenCall open = calls.get(call);
      if (open != null && open.firstTokenAt == null) {
        open.firstTokenAt = now();
      }
      if (open != null && unreadFrames.size() + owedCredits >= context.credits()) {
        open.link.cancel(open.stream);
        ended(call, CallResult.FAILED);
        apply(
            new RequestEvent.InvalidAnswer(
                call, "the agent sent more frames than it had credit for"));
        return;
      }
      apply(new RequestEvent.Tokens(call, frame.position(), frame.items()));
    }

    private void result(Message.Result result) {
      try {
        received = stage(call).model() != null ? generated(result) : parsed(result.payload());
        ended(call, CallResult.ANSWERED);
        apply(new RequestEvent.Answered(call, result.count()));
      } catch (IOException e) {
        ended(call, CallResult.FAILED);
        apply(
            new RequestEvent.InvalidAnswer(
                call, "the agent's answer is not JSON; check its upstream"));
      }
    }

    private JsonNode generated(Message.Result result) {
      return JSON.createObjectNode().put("text", text.toString()).put("tokens", result.count());
    }

    private JsonNode parsed(byte[] payload) throws IOException {
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
