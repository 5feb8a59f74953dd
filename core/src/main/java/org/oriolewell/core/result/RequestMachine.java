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
 * Runs the stages of one request in order and ends it exactly once: with a whole answer, a refusal
 * or, if the caller left, without either.
 *
 * <p>Only the current attempt of the current stage has an effect. A non-idempotent call runs only
 * after this machine granted it. Until then the request can be refused as {@code not_run}, and a
 * later START of the call is denied.
 */
public final class RequestMachine {
  private enum Phase {
    NEW,
    CALLING,
    WAITING,
    DONE
  }

  private final RequestPlan plan;
  private final BooleanSupplier budget;
  private final Supplier<String> keys;
  private final RandomGenerator random;
  private final List<StageReport> reports = new ArrayList<>();

  private Phase phase = Phase.NEW;
  private StageCall current;
  private Attempts attempts = new Attempts(Instant.EPOCH);

  /** Whether the current call was granted and has no outcome yet. */
  private boolean granted;

  /** Whether a non-idempotent stage of this request has run. */
  private boolean ran;

  private RequestMachine(
      RequestPlan plan, BooleanSupplier budget, Supplier<String> keys, RandomGenerator random) {
    this.plan = plan;
    this.budget = budget;
    this.keys = keys;
    this.random = random;
    this.current = new StageCall(plan.requestId(), 0, 0);
  }

  /** What is known of the attempts of the current stage. */
  private static final class Attempts {
    final Instant since;
    final Set<String> failed = new HashSet<>();
    int retries;
    long position;
    String upstream = "";
    @Nullable String owner;

    Attempts(Instant since) {
      this.since = since;
    }
  }

  /**
   * Returns a machine that waits for {@link RequestEvent.Begin}.
   *
   * @param budget takes a second attempt from the retry budget; false if none is left
   * @param keys makes idempotency keys for requests without a caller's key
   * @param random jitter of the delays
   */
  public static RequestMachine of(
      RequestPlan plan, BooleanSupplier budget, Supplier<String> keys, RandomGenerator random) {
    return new RequestMachine(plan, budget, keys, random);
  }

  /** Returns whether the request has ended. */
  public boolean isDone() {
    return phase == Phase.DONE;
  }

  /** Takes an event and returns what must be done, in order. */
  public List<RequestAction> on(RequestEvent event, Instant now) {
    List<RequestAction> actions = new ArrayList<>();
    if (event instanceof RequestEvent.Begin) {
      if (phase == Phase.NEW) {
        startStage(0, now, actions);
      }
    } else if (event instanceof RequestEvent.StartRequested e) {
      startAsked(e.call(), now, actions);
    } else if (event instanceof RequestEvent.DeadlinePassed) {
      deadlinePassed(actions);
    } else if (event instanceof RequestEvent.CallerLeft) {
      callerLeft(actions);
    } else if (event instanceof RequestEvent.DelayElapsed e) {
      if (phase == Phase.WAITING && e.call().equals(current)) {
        dispatch(actions);
      }
    } else {
      ofCall(event, now, actions);
    }
    return actions;
  }

  private void ofCall(RequestEvent event, Instant now, List<RequestAction> actions) {
    if (event instanceof RequestEvent.Sent e) {
      if (isCurrent(e.call())) {
        attempts.upstream = e.upstream();
      }
    } else if (event instanceof RequestEvent.NotSent e) {
      if (isCurrent(e.call()) && !granted) {
        unsent(now, actions);
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
        garbled(e.detail(), now, actions);
      }
    } else if (event instanceof RequestEvent.Refused e) {
      if (accepts(e.call(), "REFUSED", actions)) {
        refused(e.refusal(), now, actions);
      }
    } else if (event instanceof RequestEvent.ConnectionLost e) {
      if (isCurrent(e.call())) {
        lost(e.detail(), now, actions);
      }
    }
  }

  private boolean isCurrent(StageCall call) {
    return phase == Phase.CALLING && call.equals(current);
  }

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

  private void startStage(int index, Instant now, List<RequestAction> actions) {
    current = new StageCall(plan.requestId(), index, 0);
    attempts = new Attempts(now);
    granted = false;
    dispatch(actions);
  }

  private void dispatch(List<RequestAction> actions) {
    phase = Phase.CALLING;
    actions.add(
        new RequestAction.Dispatch(
            current, key(), attempts.position, attempts.failed, attempts.owner));
  }

  /** A retry is made only of a call known as not run, so a key of the entry's own may change. */
  private @Nullable String key() {
    if (stage().idempotent()) {
      return null;
    }
    String key = plan.callerKey();
    return key == null ? keys.get() : key;
  }

  private void startAsked(StageCall call, Instant now, List<RequestAction> actions) {
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
      garbled("the agent sent tokens for a stage that isn't a stream", now, actions);
      return;
    }
    long known = attempts.position - frame.position();
    if (known < 0) {
      actions.add(new RequestAction.Cancel(current));
      garbled(
          "the agent sent position " + frame.position() + " instead of " + attempts.position,
          now,
          actions);
      return;
    }
    List<String> items = frame.items();
    List<String> fresh = items.subList((int) Math.min(known, items.size()), items.size());
    actions.add(new RequestAction.Emit(current, attempts.position, List.copyOf(fresh)));
    attempts.position += fresh.size();
  }

  private void answered(RequestEvent.Answered result, Instant now, List<RequestAction> actions) {
    if (stage().streaming() && result.tokenCount() != attempts.position) {
      garbled(
          "the agent counted " + result.tokenCount() + " tokens and sent " + attempts.position,
          now,
          actions);
      return;
    }
    granted = false;
    ran |= !stage().idempotent();
    long count = attempts.position;
    reports.add(
        new StageReport(
            stage().name(), attempts.upstream, Duration.between(attempts.since, now).toMillis()));
    actions.add(new RequestAction.Accept(current));
    if (current.stage() + 1 < plan.stages().size()) {
      startStage(current.stage() + 1, now, actions);
    } else {
      phase = Phase.DONE;
      actions.add(new RequestAction.Complete(count, List.copyOf(reports)));
    }
  }

  private void garbled(String detail, Instant now, List<RequestAction> actions) {
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
    long retryAfter = refusal.retryAfterMillis();
    if (!stage().idempotent() && refusal.outcome() != Outcome.NOT_RUN) {
      granted = true;
      fail(
          kind.attempt() == AttemptOutcome.INVALID ? kind.problem() : ProblemKind.OUTCOME_UNKNOWN,
          detail,
          retryAfter,
          actions);
      return;
    }
    granted = false;
    if (kind.attempt() == AttemptOutcome.MOVED) {
      redirect(refusal, now, actions);
    } else if (RetryRule.STANDARD.mayRetry(attempt(kind), stage().idempotent())) {
      retry(kind.problem(), detail, retryAfter, now, actions);
    } else {
      fail(kind.problem(), detail, retryAfter, actions);
    }
  }

  /**
   * Returns what a refusal of a call that did not run means for a retry. A key of the caller's may
   * be settled, but with a key of the entry's own another key can be tried.
   */
  private AttemptOutcome attempt(Refusal.Kind kind) {
    boolean fresh = !stage().idempotent() && plan.callerKey() == null;
    return fresh && kind.attempt() == AttemptOutcome.FAILED
        ? AttemptOutcome.NOT_SENT
        : kind.attempt();
  }

  private void redirect(Refusal refusal, Instant now, List<RequestAction> actions) {
    boolean named = refusal.kind() == Refusal.Kind.NOT_OWNER;
    boolean first = attempts.retries == 0;
    attempts.owner = named ? refusal.detail() : null;
    attempts.failed.add(attempts.upstream);
    Duration delay =
        first && refusal.kind() != Refusal.Kind.STORE_UNAVAILABLE ? Duration.ZERO : backoff();
    again(
        delay,
        refusal.kind().problem(),
        refusal.detail(),
        refusal.retryAfterMillis(),
        now,
        actions);
  }

  private void lost(String detail, Instant now, List<RequestAction> actions) {
    if (granted) {
      fail(ProblemKind.OUTCOME_UNKNOWN, detail, 0, actions);
    } else {
      retry(ProblemKind.UPSTREAM_FAILED, detail, 0, now, actions);
    }
  }

  private void unsent(Instant now, List<RequestAction> actions) {
    attempts.owner = null;
    boolean patient =
        Duration.between(attempts.since, now).compareTo(plan.timing().noUpstreamWait()) < 0;
    String detail = "no upstream is available for stage " + stage().name() + "; retry later";
    if (patient) {
      again(backoff(), ProblemKind.NO_UPSTREAM, detail, 0, now, actions);
    } else {
      fail(ProblemKind.NO_UPSTREAM, detail, 1000, actions);
    }
  }

  private void retry(
      ProblemKind kind, String detail, long retryAfter, Instant now, List<RequestAction> actions) {
    attempts.failed.add(attempts.upstream);
    attempts.owner = null;
    if (budget.getAsBoolean()) {
      again(backoff(), kind, detail, retryAfter, now, actions);
    } else {
      fail(kind, detail + "; the retry budget is used up", retryAfter, actions);
    }
  }

  private void again(
      Duration delay,
      ProblemKind kind,
      String detail,
      long retryAfter,
      Instant now,
      List<RequestAction> actions) {
    if (!now.plus(delay).isBefore(plan.deadline())) {
      fail(kind, detail + "; no time is left for another attempt", retryAfter, actions);
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

  /** A granted call is left alone, so that its owner records the outcome for a later retry. */
  private void cancelCurrent(List<RequestAction> actions) {
    if (phase == Phase.CALLING && !granted) {
      actions.add(new RequestAction.Cancel(current));
    }
  }

  private void fail(ProblemKind kind, String detail, long retryAfter, List<RequestAction> actions) {
    phase = Phase.DONE;
    Outcome outcome = granted || ran ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    String remedy =
        outcome == Outcome.UNKNOWN
            ? detail + "; retry with the same idempotency key or settle the key"
            : detail;
    actions.add(
        new RequestAction.Fail(
            new Failure(kind, outcome, remedy, retryAfter), List.copyOf(reports)));
  }
}
