package org.oriolewell.core.result;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.retry.AttemptOutcome;
import org.oriolewell.core.retry.RetryRule;

/**
 * State machine of one request: runs its stages in order and ends it exactly once, with a complete
 * answer, a refusal or, if the caller disconnected, without either.
 *
 * <p>Only events of the current attempt of the current stage have an effect. A non-idempotent call
 * runs only after this machine granted it. Until then the request can be refused as {@code
 * not_run}, and a later START of the call is denied.
 */
public final class RequestMachine {
  /** State of the machine. */
  private enum Phase {
    NEW,
    CALLING,
    WAITING,
    DONE
  }

  private final RequestPlan plan;
  private final BooleanSupplier retryBudget;
  private final Supplier<String> keySupplier;
  private final RandomGenerator random;
  private final List<StageReport> reports = new ArrayList<>();

  private Phase phase = Phase.NEW;
  private StageCall current;
  private Attempts attempts = new Attempts(Instant.EPOCH);

  /** Whether the current call was granted permission to run and has no outcome yet. */
  private boolean granted;

  /** Whether a non-idempotent stage of this request has run. */
  private boolean nonIdempotentStageRan;

  private RequestMachine(
      RequestPlan plan,
      BooleanSupplier retryBudget,
      Supplier<String> keySupplier,
      RandomGenerator random) {
    this.plan = plan;
    this.retryBudget = retryBudget;
    this.keySupplier = keySupplier;
    this.random = random;
    this.current = new StageCall(plan.requestId(), 0, 0);
  }

  /** Progress of the attempts of the current stage. */
  private static final class Attempts {
    /** Start of the stage's first attempt. */
    final Instant startedAt;

    /** Host names of the upstreams at which an attempt failed. */
    final Set<String> failedUpstreams = new HashSet<>();

    int retries;

    /** Number of tokens received, which is the position of the next token. */
    long position;

    String upstream = "";

    /** Detail of a refusal, which names the agent that owns the key's shard. */
    @Nullable String owner;

    Attempts(Instant startedAt) {
      this.startedAt = startedAt;
    }
  }

  /**
   * Returns a machine that waits for {@link RequestEvent.Begin}.
   *
   * @param plan stages, deadline and key of the request
   * @param retryBudget takes one retry from the retry budget; returns false if none is left
   * @param keySupplier creates idempotency keys for requests without a caller's key
   * @param random source of the random part of delays before retries
   */
  public static RequestMachine of(
      RequestPlan plan,
      BooleanSupplier retryBudget,
      Supplier<String> keySupplier,
      RandomGenerator random) {
    return new RequestMachine(plan, retryBudget, keySupplier, random);
  }

  /** Returns whether the request has been answered, refused or abandoned. */
  public boolean isDone() {
    return phase == Phase.DONE;
  }

  /** Applies an event and returns the actions to carry out, in order. */
  public List<RequestAction> on(RequestEvent event, Instant now) {
    List<RequestAction> actions = new ArrayList<>();
    if (event instanceof RequestEvent.Begin) {
      if (phase == Phase.NEW) {
        startStage(0, now, actions);
      }
    } else if (event instanceof RequestEvent.StartRequested e) {
      startRequested(e.call(), now, actions);
    } else if (event instanceof RequestEvent.DeadlinePassed) {
      deadlinePassed(actions);
    } else if (event instanceof RequestEvent.CallerLeft) {
      callerLeft(actions);
    } else if (event instanceof RequestEvent.DelayElapsed e) {
      if (phase == Phase.WAITING && e.call().equals(current)) {
        dispatch(actions);
      }
    } else {
      applyCallEvent(event, now, actions);
    }
    return actions;
  }

  private void applyCallEvent(RequestEvent event, Instant now, List<RequestAction> actions) {
    if (event instanceof RequestEvent.Sent e) {
      if (isCurrent(e.call())) {
        attempts.upstream = e.upstream();
      }
    } else if (event instanceof RequestEvent.NotSent e) {
      if (isCurrent(e.call()) && !granted) {
        notSent(now, actions);
      }
    } else if (event instanceof RequestEvent.Unreachable e) {
      if (isCurrent(e.call()) && !granted) {
        String detail = "the stages that remain can't finish in time; allow more time";
        fail(ProblemKind.DEADLINE_UNREACHABLE, detail, 0, actions);
      }
    } else if (event instanceof RequestEvent.Tokens e) {
      if (accepts(e.call(), "TOKENS", actions)) {
        tokens(e, now, actions);
      }
    } else if (event instanceof RequestEvent.Answered e) {
      if (accepts(e.call(), "RESULT", actions)) {
        answered(e, now, actions);
      }
    } else if (event instanceof RequestEvent.InvalidAnswer e) {
      if (accepts(e.call(), "RESULT", actions)) {
        invalidAnswer(e.detail(), now, actions);
      }
    } else if (event instanceof RequestEvent.Refused e) {
      if (accepts(e.call(), "REFUSED", actions)) {
        refused(e.refusal(), now, actions);
      }
    } else if (event instanceof RequestEvent.ConnectionLost e) {
      if (isCurrent(e.call())) {
        connectionLost(e.detail(), now, actions);
      }
    }
  }

  private boolean isCurrent(StageCall call) {
    return phase == Phase.CALLING && call.equals(current);
  }

  /** Returns whether a message belongs to the current attempt, and adds a log action if not. */
  private boolean accepts(StageCall call, String message, List<RequestAction> actions) {
    if (isCurrent(call)) {
      return true;
    }
    actions.add(new RequestAction.Stale(call, message));
    return false;
  }

  private RequestPlan.Stage stage() {
    return plan.stages().get(current.stage());
  }

  private void startStage(int stageIndex, Instant now, List<RequestAction> actions) {
    current = new StageCall(plan.requestId(), stageIndex, 0);
    attempts = new Attempts(now);
    granted = false;
    dispatch(actions);
  }

  private void dispatch(List<RequestAction> actions) {
    phase = Phase.CALLING;
    actions.add(
        new RequestAction.Dispatch(
            current, key(), attempts.position, attempts.failedUpstreams, attempts.owner));
  }

  /**
   * Returns the caller's idempotency key or a new one. Only a call that is known as not run is
   * retried, so a key created by the entry may change between attempts.
   */
  private @Nullable String key() {
    if (stage().idempotent()) {
      return null;
    }
    String key = plan.callerKey();
    return key == null ? keySupplier.get() : key;
  }

  private void startRequested(StageCall call, Instant now, List<RequestAction> actions) {
    if (!isCurrent(call) || stage().idempotent()) {
      actions.add(new RequestAction.Deny(call));
      actions.add(new RequestAction.Stale(call, "START"));
    } else if (granted) {
      actions.add(new RequestAction.Stale(call, "START"));
    } else if (!now.isBefore(plan.deadline())) {
      actions.add(new RequestAction.Deny(call));
      deadlinePassed(actions);
    } else {
      granted = true;
      actions.add(new RequestAction.Grant(call));
    }
  }

  private void tokens(RequestEvent.Tokens frame, Instant now, List<RequestAction> actions) {
    if (!stage().streaming()) {
      actions.add(new RequestAction.Cancel(current));
      invalidAnswer("the agent sent tokens for a stage that isn't a stream", now, actions);
      return;
    }
    long duplicateTokens = attempts.position - frame.position();
    if (duplicateTokens < 0) {
      actions.add(new RequestAction.Cancel(current));
      invalidAnswer(
          "the agent sent position " + frame.position() + " instead of " + attempts.position,
          now,
          actions);
      return;
    }
    List<String> items = frame.items();
    List<String> newItems =
        items.subList((int) Math.min(duplicateTokens, items.size()), items.size());
    actions.add(new RequestAction.Emit(current, attempts.position, List.copyOf(newItems)));
    attempts.position += newItems.size();
  }

  private void answered(RequestEvent.Answered result, Instant now, List<RequestAction> actions) {
    if (stage().streaming() && result.tokenCount() != attempts.position) {
      invalidAnswer(
          "the agent counted " + result.tokenCount() + " tokens and sent " + attempts.position,
          now,
          actions);
      return;
    }
    granted = false;
    nonIdempotentStageRan |= !stage().idempotent();
    long tokenCount = attempts.position;
    reports.add(
        new StageReport(
            stage().name(),
            attempts.upstream,
            Duration.between(attempts.startedAt, now).toMillis()));
    actions.add(new RequestAction.Accept(current));
    if (current.stage() + 1 < plan.stages().size()) {
      startStage(current.stage() + 1, now, actions);
    } else {
      phase = Phase.DONE;
      actions.add(new RequestAction.Complete(tokenCount, List.copyOf(reports)));
    }
  }

  private void invalidAnswer(String detail, Instant now, List<RequestAction> actions) {
    if (stage().idempotent()) {
      retry(ProblemKind.UPSTREAM_FAILED, detail, 0, now, actions);
    } else {
      granted = true;
      fail(ProblemKind.OUTCOME_UNKNOWN, detail, 0, actions);
    }
  }

  private void refused(Refusal refusal, Instant now, List<RequestAction> actions) {
    Refusal.Kind kind = refusal.kind();
    String detail = refusal.detail();
    long retryAfterMillis = refusal.retryAfterMillis();
    if (!stage().idempotent() && refusal.outcome() != Outcome.NOT_RUN) {
      granted = true;
      fail(
          kind.attemptOutcome() == AttemptOutcome.INVALID
              ? kind.problem()
              : ProblemKind.OUTCOME_UNKNOWN,
          detail,
          retryAfterMillis,
          actions);
      return;
    }
    granted = false;
    if (kind.attemptOutcome() == AttemptOutcome.MOVED) {
      redirect(refusal, now, actions);
    } else if (RetryRule.STANDARD.mayRetry(attemptOutcome(kind), stage().idempotent())) {
      retry(kind.problem(), detail, retryAfterMillis, now, actions);
    } else {
      fail(kind.problem(), detail, retryAfterMillis, actions);
    }
  }

  /**
   * Returns the outcome of an attempt that an agent refused and that did not run. A caller's key
   * may be settled by it, but instead of a key created by the entry another key can be tried.
   */
  private AttemptOutcome attemptOutcome(Refusal.Kind kind) {
    boolean hasNewKey = !stage().idempotent() && plan.callerKey() == null;
    return hasNewKey && kind.attemptOutcome() == AttemptOutcome.FAILED
        ? AttemptOutcome.NOT_SENT
        : kind.attemptOutcome();
  }

  /** Retries a call that must run at another agent, without use of the retry budget. */
  private void redirect(Refusal refusal, Instant now, List<RequestAction> actions) {
    boolean ownerNamed = refusal.kind() == Refusal.Kind.NOT_OWNER;
    boolean isFirstRetry = attempts.retries == 0;
    attempts.owner = ownerNamed ? refusal.detail() : null;
    attempts.failedUpstreams.add(attempts.upstream);
    Duration delay =
        isFirstRetry && refusal.kind() != Refusal.Kind.STORE_UNAVAILABLE
            ? Duration.ZERO
            : backoff();
    scheduleAttempt(
        delay,
        refusal.kind().problem(),
        refusal.detail(),
        refusal.retryAfterMillis(),
        now,
        actions);
  }

  private void connectionLost(String detail, Instant now, List<RequestAction> actions) {
    if (granted) {
      fail(ProblemKind.OUTCOME_UNKNOWN, detail, 0, actions);
    } else {
      retry(ProblemKind.UPSTREAM_FAILED, detail, 0, now, actions);
    }
  }

  private void notSent(Instant now, List<RequestAction> actions) {
    attempts.owner = null;
    boolean mayWait =
        Duration.between(attempts.startedAt, now).compareTo(plan.timing().noUpstreamWait()) < 0;
    String detail = "no upstream is available for stage " + stage().name() + "; retry later";
    if (mayWait) {
      scheduleAttempt(backoff(), ProblemKind.NO_UPSTREAM, detail, 0, now, actions);
    } else {
      fail(ProblemKind.NO_UPSTREAM, detail, 1000, actions);
    }
  }

  /** Plans another attempt if the retry budget allows it, or refuses the request. */
  private void retry(
      ProblemKind kind,
      String detail,
      long retryAfterMillis,
      Instant now,
      List<RequestAction> actions) {
    attempts.failedUpstreams.add(attempts.upstream);
    attempts.owner = null;
    if (retryBudget.getAsBoolean()) {
      scheduleAttempt(backoff(), kind, detail, retryAfterMillis, now, actions);
    } else {
      fail(kind, detail + "; the retry budget is used up", retryAfterMillis, actions);
    }
  }

  /** Plans the next attempt after a delay, or refuses the request if the deadline passes before. */
  private void scheduleAttempt(
      Duration delay,
      ProblemKind kind,
      String detail,
      long retryAfterMillis,
      Instant now,
      List<RequestAction> actions) {
    if (!now.plus(delay).isBefore(plan.deadline())) {
      fail(kind, detail + "; no time is left for another attempt", retryAfterMillis, actions);
      return;
    }
    attempts.retries++;
    current = new StageCall(plan.requestId(), current.stage(), current.attempt() + 1);
    granted = false;
    if (delay.isZero()) {
      dispatch(actions);
    } else {
      phase = Phase.WAITING;
      actions.add(new RequestAction.Wait(current, delay));
    }
  }

  private Duration backoff() {
    return plan.timing().backoff().delay(attempts.retries + 1, random);
  }

  private void deadlinePassed(List<RequestAction> actions) {
    if (phase == Phase.DONE) {
      return;
    }
    cancelCurrent(actions);
    fail(
        ProblemKind.DEADLINE_EXCEEDED,
        "the deadline passed in stage " + stage().name() + "; allow more time",
        0,
        actions);
  }

  private void callerLeft(List<RequestAction> actions) {
    if (phase == Phase.DONE) {
      return;
    }
    cancelCurrent(actions);
    phase = Phase.DONE;
    actions.add(new RequestAction.Abandon());
  }

  /**
   * Cancels the current call unless it was granted; a granted call continues, so that its owner
   * records the outcome for a later retry.
   */
  private void cancelCurrent(List<RequestAction> actions) {
    if (phase == Phase.CALLING && !granted) {
      actions.add(new RequestAction.Cancel(current));
    }
  }

  private void fail(
      ProblemKind kind, String detail, long retryAfterMillis, List<RequestAction> actions) {
    phase = Phase.DONE;
    Outcome outcome = granted || nonIdempotentStageRan ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    String detailWithRemedy =
        outcome == Outcome.UNKNOWN
            ? detail + "; retry with the same idempotency key or settle the key"
            : detail;
    actions.add(
        new RequestAction.Fail(
            new Failure(kind, outcome, detailWithRemedy, retryAfterMillis), List.copyOf(reports)));
  }
}
