package org.oriolewell.core.result;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.oriolewell.core.retry.Backoff;

/**
 * Guards invariants against any order of events: a request ends exactly once, stale calls have no
 * effect, and it ends as {@code not_run} only if no granted call may have run.
 */
class RequestHistoryTest {
  private static final int STEPS = 60;
  private static final List<RequestPlan.Stage> STAGES =
      List.of(
          new RequestPlan.Stage("encode", true, false),
          new RequestPlan.Stage("pay", false, false),
          new RequestPlan.Stage("generate", true, true));

  @Property(tries = 3000, seed = "20261204")
  void everyHistoryEndsOnceWithCorrectOutcome(@ForAll long seed) {
    new History(new Random(seed)).run();
  }

  private static final class History {
    private final Random random;
    private final RequestMachine machine;
    private final List<StageCall> calls = new ArrayList<>();
    private final Set<StageCall> possiblyRanCalls = new HashSet<>();
    private Instant now = Instant.EPOCH;
    private int endCount;
    private long emittedTokens;

    History(Random random) {
      this.random = random;
      RequestPlan plan =
          new RequestPlan(
              "r",
              STAGES,
              now.plusSeconds(1),
              random.nextBoolean() ? "k" : null,
              new RequestPlan.Timing(
                  new Backoff(Duration.ofMillis(5), Duration.ofMillis(50)),
                  Duration.ofMillis(100)));
      machine = RequestMachine.of(plan, () -> random.nextInt(4) > 0, () -> "made", random);
    }

    void run() {
      applyEvent(new RequestEvent.Begin());
      for (int i = 0; i < STEPS; i++) {
        now = now.plusMillis(random.nextInt(20));
        applyEvent(event());
      }
      applyEvent(new RequestEvent.DeadlinePassed());
      assertThat(endCount).isEqualTo(1);
    }

    /** Returns the newest call most of the time, so that histories reach later stages. */
    private StageCall call() {
      int lastIndex = calls.size() - 1;
      return calls.get(random.nextInt(4) > 0 ? lastIndex : random.nextInt(lastIndex + 1));
    }

    private RequestEvent event() {
      StageCall call = call();
      return switch (random.nextInt(16)) {
        case 0 -> new RequestEvent.ConnectionLost(call, "lost");
        case 1 -> new RequestEvent.Refused(call, refusal());
        case 2 -> new RequestEvent.InvalidAnswer(call, "garbled");
        case 3 -> new RequestEvent.NotSent(call);
        case 4, 5, 6 -> new RequestEvent.StartRequested(call);
        case 7, 8, 9 -> new RequestEvent.Tokens(call, emittedTokens, List.of("a", "b"));
        case 10 -> new RequestEvent.Tokens(call, random.nextInt(5), List.of("a"));
        case 11, 12 -> new RequestEvent.DelayElapsed(call);
        case 13 ->
            random.nextInt(20) == 0
                ? new RequestEvent.CallerLeft()
                : new RequestEvent.Sent(call, "u");
        default -> new RequestEvent.Answered(call, emittedTokens);
      };
    }

    private Refusal refusal() {
      Refusal.Kind[] kinds = Refusal.Kind.values();
      Outcome outcome = random.nextInt(4) == 0 ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      return new Refusal(kinds[random.nextInt(kinds.length)], outcome, "detail", 0);
    }

    private void applyEvent(RequestEvent event) {
      boolean wasDone = machine.isDone();
      List<RequestAction> actions = machine.on(event, now);
      if (event instanceof RequestEvent.Refused refused
          && refused.refusal().outcome() == Outcome.NOT_RUN
          && actions.stream().noneMatch(RequestAction.Stale.class::isInstance)) {
        possiblyRanCalls.remove(refused.call());
      }
      actions.forEach(action -> check(action, wasDone));
      if (event instanceof RequestEvent.StartRequested) {
        assertThat(actions).isNotEmpty();
      }
    }

    private void check(RequestAction action, boolean wasDone) {
      if (action instanceof RequestAction.Dispatch a) {
        assertThat(wasDone).isFalse();
        assertThat(calls).doesNotContain(a.call());
        assertThat(possiblyRanCalls.stream().map(StageCall::stage))
            .doesNotContain(a.call().stage());
        calls.add(a.call());
        emittedTokens = a.resumeFrom();
      } else if (action instanceof RequestAction.Wait a) {
        assertThat(calls).doesNotContain(a.call());
      } else if (action instanceof RequestAction.Grant a) {
        assertThat(wasDone).isFalse();
        assertThat(a.call().stage()).isEqualTo(1);
        assertThat(possiblyRanCalls.add(a.call())).isTrue();
      } else if (action instanceof RequestAction.Emit a) {
        assertThat(a.position()).isEqualTo(emittedTokens);
        emittedTokens += a.items().size();
      } else if (action instanceof RequestAction.Fail a) {
        endCount++;
        if (a.failure().outcome() == Outcome.NOT_RUN) {
          assertThat(possiblyRanCalls).isEmpty();
        }
      } else if (action instanceof RequestAction.Complete a) {
        endCount++;
        assertThat(a.tokenCount()).isEqualTo(emittedTokens);
        assertThat(a.stages()).hasSize(STAGES.size());
      } else if (action instanceof RequestAction.Abandon) {
        endCount++;
      }
    }
  }
}
