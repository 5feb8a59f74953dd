package org.oriolewell.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against unbounded memory for bodies, and against ending the bodies of sound callers. */
class BodyBudgetTest {
  private static final long LATER = BodyBudget.GRACE.toNanos() + 1;

  private final BodyBudget budget = BodyBudget.of(1 << 20);
  private final List<String> evicted = new ArrayList<>();

  private BodyBudget.Body body(String name) {
    return budget.add(0, () -> evicted.add(name));
  }

  @Test
  void singleBodyIsAcceptedBeyondTheBound() {
    assertThat(body("only").grow(2 << 20, 0)).isTrue();
  }

  @Test
  void bodyThatStallsEndsBeforeOneThatArrives() {
    BodyBudget.Body stalled = body("stalled");
    BodyBudget.Body arriving = body("arriving");
    stalled.grow(1 << 19, 0);
    arriving.grow(1 << 18, LATER);

    assertThat(arriving.grow(1 << 19, LATER)).isTrue();
    assertThat(evicted).containsExactly("stalled");
    assertThat(stalled.grow(1, LATER)).isFalse();
  }

  @Test
  void bodyInSmallPartsEndsAlthoughItNeverStalls() {
    BodyBudget.Body trickling = body("trickling");
    BodyBudget.Body arriving = body("arriving");
    long now = Duration.ofSeconds(3).toNanos();
    trickling.grow(100, now);
    arriving.grow(1 << 19, now);

    assertThat(arriving.grow(1 << 19, now)).isTrue();
    assertThat(evicted).containsExactly("trickling");
  }

  @Test
  void bodyIsRefusedIfNoneIsSlow() {
    BodyBudget.Body whole = body("whole");
    whole.grow(1 << 20, 0);
    whole.complete();
    BodyBudget.Body next = body("next");

    assertThat(next.grow(1, LATER)).isFalse();
    whole.release();
    assertThat(next.grow(1, LATER)).isTrue();
    assertThat(evicted).isEmpty();
  }
}
