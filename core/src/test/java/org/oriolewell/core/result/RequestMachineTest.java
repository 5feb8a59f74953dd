package org.oriolewell.core.result;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.retry.Backoff;

/**
 * Guards against refusals with a wrong outcome, and against results that are late, repeated or of
 * another attempt.
 */
class RequestMachineTest {
  private static final Instant START = Instant.EPOCH;
  private static final RequestPlan.Timing TIMING =
      new RequestPlan.Timing(
          new Backoff(Duration.ofMillis(10), Duration.ofMillis(100)), Duration.ofMillis(300));
  private static final RequestPlan.Stage ENCODE_STAGE =
      new RequestPlan.Stage("encode", true, false);
  private static final RequestPlan.Stage GENERATE_STAGE =
      new RequestPlan.Stage("generate", true, true);
  private static final RequestPlan.Stage PAY_STAGE = new RequestPlan.Stage("pay", false, false);

  private int retriesLeft = 10;
  private int createdKeys;

  private RequestMachine machine(@Nullable String key, RequestPlan.Stage... stages) {
    RequestPlan plan = new RequestPlan("r", List.of(stages), START.plusSeconds(1), key, TIMING);
    return RequestMachine.of(
        plan, () -> retriesLeft-- > 0, () -> "made-" + createdKeys++, new Random(1));
  }

  private static StageCall call(int stage, int attempt) {
    return new StageCall("r", stage, attempt);
  }

  private static List<RequestAction> applyAt(
      RequestMachine machine, RequestEvent event, long millis) {
    return machine.on(event, START.plusMillis(millis));
  }

  private static Failure failure(List<RequestAction> actions) {
    return actions.stream()
        .filter(RequestAction.Fail.class::isInstance)
        .map(action -> ((RequestAction.Fail) action).failure())
        .findFirst()
        .orElseThrow();
  }

  private static RequestAction.Dispatch dispatched(List<RequestAction> actions) {
    return (RequestAction.Dispatch) actions.get(actions.size() - 1);
  }

  private static Refusal refusal(Refusal.Kind kind, Outcome outcome) {
    return new Refusal(kind, outcome, "a-2", 0);
  }

  /** A result of an earlier attempt must not end the stage, nor a second result the request. */
  @Test
  void onlyTheFirstResultOfTheCurrentAttemptCounts() {
    RequestMachine machine = machine(null, ENCODE_STAGE);
    applyAt(machine, new RequestEvent.Begin(), 0);
    applyAt(machine, new RequestEvent.ConnectionLost(call(0, 0), "lost"), 1);
    applyAt(machine, new RequestEvent.DelayElapsed(call(0, 1)), 20);

    assertThat(applyAt(machine, new RequestEvent.Answered(call(0, 0), 0), 21))
        .containsExactly(new RequestAction.Stale(call(0, 0), "RESULT"));
    assertThat(applyAt(machine, new RequestEvent.Answered(call(0, 1), 0), 22))
        .hasAtLeastOneElementOfType(RequestAction.Complete.class);
    assertThat(applyAt(machine, new RequestEvent.Answered(call(0, 1), 0), 23))
        .containsExactly(new RequestAction.Stale(call(0, 1), "RESULT"));
  }

  /** A request that was refused as not run must never be granted afterwards. */
  @Test
  void startAfterTheRefusalIsDenied() {
    RequestMachine machine = machine("k", PAY_STAGE);
    applyAt(machine, new RequestEvent.Begin(), 0);

    Failure failure = failure(applyAt(machine, new RequestEvent.DeadlinePassed(), 1000));

    assertThat(failure.kind()).isEqualTo(ProblemKind.DEADLINE_EXCEEDED);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(applyAt(machine, new RequestEvent.StartRequested(call(0, 0)), 1001))
        .contains(new RequestAction.Deny(call(0, 0)))
        .doesNotHaveAnyElementsOfTypes(RequestAction.Grant.class);
  }

  /**
   * A START that arrives at the deadline must not be granted, even if the deadline timer has not
   * fired yet.
   */
  @Test
  void startAtTheDeadlineIsDenied() {
    RequestMachine machine = machine("k", PAY_STAGE);
    applyAt(machine, new RequestEvent.Begin(), 0);

    List<RequestAction> actions =
        applyAt(machine, new RequestEvent.StartRequested(call(0, 0)), 1000);

    assertThat(actions).contains(new RequestAction.Deny(call(0, 0)));
    assertThat(failure(actions).outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /** A call that may have run must be neither retried nor reported as not run. */
  @Test
  void agentLostAfterGrantIsUnknown() {
    RequestMachine machine = machine(null, PAY_STAGE);
    applyAt(machine, new RequestEvent.Begin(), 0);
    assertThat(applyAt(machine, new RequestEvent.StartRequested(call(0, 0)), 1))
        .containsExactly(new RequestAction.Grant(call(0, 0)));

    Failure failure =
        failure(applyAt(machine, new RequestEvent.ConnectionLost(call(0, 0), "lost"), 2));

    assertThat(failure.kind()).isEqualTo(ProblemKind.OUTCOME_UNKNOWN);
    assertThat(failure.outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  /** A call that was never granted did not run, so losing its agent must not fail the request. */
  @Test
  void agentLostBeforeGrantIsRetriedWithTheCallersKey() {
    RequestMachine machine = machine("k", PAY_STAGE);
    assertThat(dispatched(applyAt(machine, new RequestEvent.Begin(), 0)).key()).isEqualTo("k");
    applyAt(machine, new RequestEvent.ConnectionLost(call(0, 0), "lost"), 1);

    assertThat(dispatched(applyAt(machine, new RequestEvent.DelayElapsed(call(0, 1)), 20)).key())
        .isEqualTo("k");
  }

  /**
   * An agent may refuse a call as not run after a grant; a call with a key created by the entry is
   * then retried with a new key.
   */
  @Test
  void refusalAsNotRunAfterGrantIsRetriedUnderAnotherKey() {
    RequestMachine machine = machine(null, PAY_STAGE);
    assertThat(dispatched(applyAt(machine, new RequestEvent.Begin(), 0)).key()).isEqualTo("made-0");
    applyAt(machine, new RequestEvent.StartRequested(call(0, 0)), 1);
    Refusal refused = refusal(Refusal.Kind.UPSTREAM_FAILED, Outcome.NOT_RUN);
    applyAt(machine, new RequestEvent.Refused(call(0, 0), refused), 2);

    assertThat(dispatched(applyAt(machine, new RequestEvent.DelayElapsed(call(0, 1)), 20)).key())
        .isEqualTo("made-1");
    assertThat(failure(applyAt(machine, new RequestEvent.DeadlinePassed(), 1000)).outcome())
        .isEqualTo(Outcome.NOT_RUN);
  }

  /** A later failure must not hide that an earlier non-idempotent stage ran. */
  @Test
  void failureAfterNonIdempotentStageIsUnknown() {
    retriesLeft = 0;
    RequestMachine machine = machine("k", PAY_STAGE, ENCODE_STAGE);
    applyAt(machine, new RequestEvent.Begin(), 0);
    applyAt(machine, new RequestEvent.StartRequested(call(0, 0)), 1);
    applyAt(machine, new RequestEvent.Answered(call(0, 0), 0), 2);

    Failure failure =
        failure(applyAt(machine, new RequestEvent.ConnectionLost(call(1, 0), "lost"), 3));

    assertThat(failure.kind()).isEqualTo(ProblemKind.UPSTREAM_FAILED);
    assertThat(failure.outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  /** The named owner is called at once and without use of the retry budget. */
  @Test
  void notOwnerIsRedirectedToTheNamedOwner() {
    retriesLeft = 0;
    RequestMachine machine = machine("k", PAY_STAGE);
    applyAt(machine, new RequestEvent.Begin(), 0);
    Refusal refused = refusal(Refusal.Kind.NOT_OWNER, Outcome.NOT_RUN);

    RequestAction.Dispatch redirected =
        dispatched(applyAt(machine, new RequestEvent.Refused(call(0, 0), refused), 1));

    assertThat(redirected.owner()).isEqualTo("a-2");
    assertThat(redirected.call()).isEqualTo(call(0, 1));
  }

  /** A stream that continues at another engine must neither lose nor repeat tokens. */
  @Test
  void streamResumesFromThePositionReached() {
    RequestMachine machine = machine(null, GENERATE_STAGE);
    applyAt(machine, new RequestEvent.Begin(), 0);
    applyAt(machine, new RequestEvent.Tokens(call(0, 0), 0, List.of("a", "b")), 1);
    applyAt(machine, new RequestEvent.ConnectionLost(call(0, 0), "lost"), 2);

    assertThat(
            dispatched(applyAt(machine, new RequestEvent.DelayElapsed(call(0, 1)), 20))
                .resumeFrom())
        .isEqualTo(2);
    assertThat(applyAt(machine, new RequestEvent.Tokens(call(0, 1), 1, List.of("b", "c")), 21))
        .containsExactly(new RequestAction.Emit(call(0, 1), 2, List.of("c")));
    assertThat(applyAt(machine, new RequestEvent.Tokens(call(0, 0), 2, List.of("x")), 22))
        .containsExactly(new RequestAction.Stale(call(0, 0), "TOKENS"));
    assertThat(applyAt(machine, new RequestEvent.Answered(call(0, 1), 3), 23))
        .hasAtLeastOneElementOfType(RequestAction.Complete.class);
  }

  /**
   * A token count that differs from the number of tokens received shows a loss; the answer would be
   * incomplete.
   */
  @Test
  void streamWithWrongCountIsNotComplete() {
    retriesLeft = 0;
    RequestMachine machine = machine(null, GENERATE_STAGE);
    applyAt(machine, new RequestEvent.Begin(), 0);
    applyAt(machine, new RequestEvent.Tokens(call(0, 0), 0, List.of("a")), 1);

    assertThat(failure(applyAt(machine, new RequestEvent.Answered(call(0, 0), 2), 2)).kind())
        .isEqualTo(ProblemKind.UPSTREAM_FAILED);
  }

  /** Retries without a budget would multiply the load of overloaded upstreams. */
  @Test
  void idempotentStageIsNotRetriedWithoutBudget() {
    retriesLeft = 0;
    RequestMachine machine = machine(null, ENCODE_STAGE);
    applyAt(machine, new RequestEvent.Begin(), 0);

    Refusal refused = refusal(Refusal.Kind.OVERLOADED, Outcome.NOT_RUN);
    Failure failure = failure(applyAt(machine, new RequestEvent.Refused(call(0, 0), refused), 1));

    assertThat(failure.kind()).isEqualTo(ProblemKind.OVERLOADED);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
  }
}
