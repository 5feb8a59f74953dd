package org.oriolewell.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.overload.CallerHolding.Kind;

/** Guards against callers that fill the memory, and against a wrong choice of what is given up. */
class CallerMemoryTest {
  private static final long MAX_BYTES = 10 << 20;
  private static final long GRACE = 500_000_000;
  private static final long SECOND = 1_000_000_000;

  private final CallerMemory memory = CallerMemory.of(MAX_BYTES, GRACE);

  private CallerHolding holding(long bodyBytes, long now) {
    CallerHolding holding = CallerHolding.of(memory, now);
    memory.add(holding);
    holding.set(Kind.CONNECTION, 6 << 10, now);
    holding.set(Kind.BODY, bodyBytes, now);
    return holding;
  }

  @Test
  void everythingIsReadWithoutPressure() {
    CallerHolding large = holding(4 << 20, 0);

    assertThat(memory.mayRead(large)).isTrue();
    assertThat(memory.overdue(10 * SECOND)).isEmpty();
  }

  @Test
  void largeRequestsArePausedBeforeAnyIsGivenUp() {
    CallerHolding large = holding(8 << 20, 0);
    CallerHolding small = holding(1000, 0);

    assertThat(memory.mayRead(large)).isFalse();
    assertThat(memory.mayRead(small)).isTrue();
    assertThat(memory.overdue(GRACE - 1)).isEmpty();
    assertThat(memory.overdue(GRACE)).containsExactly(large);
  }

  @Test
  void stalledRequestIsGivenUpBeforeOneThatProgresses() {
    CallerHolding stalled = holding(4 << 20, 0);
    CallerHolding steady = holding(4 << 20, 0);
    steady.received(1 << 20, 9 * SECOND);

    assertThat(memory.overdue(10 * SECOND)).containsExactly(stalled);
  }

  @Test
  void drippingRequestCountsAsStalled() {
    CallerHolding dripping = holding(4 << 20, 0);
    CallerHolding steady = holding(4 << 20, 0);
    for (int i = 0; i < 9; i++) {
      dripping.received(1, i * SECOND);
    }
    steady.received(1 << 20, 5 * SECOND);

    assertThat(memory.overdue(10 * SECOND)).containsExactly(dripping);
  }

  @Test
  void callerIsNotBlamedForPause() {
    CallerHolding paused = holding(4 << 20, 0);
    CallerHolding stalled = holding(4 << 20, 0);
    paused.pause(SECOND);

    assertThat(memory.overdue(10 * SECOND)).containsExactly(stalled);
    assertThat(paused.resume(10 * SECOND)).isEqualTo(9 * SECOND);
  }

  @Test
  void newestOrdinaryRequestIsGivenUpLast() {
    for (int i = 0; i < 20; i++) {
      holding(512 << 10, 0);
    }
    CallerHolding ordinary = holding(2000, SECOND);

    assertThat(memory.bytes()).isGreaterThan(MAX_BYTES);
    assertThat(memory.overdue(SECOND)).isNotEmpty().doesNotContain(ordinary);
  }

  @Test
  void requestThatRunsIsNotGivenUp() {
    CallerHolding running = holding(11 << 20, 0);
    running.run();

    assertThat(memory.overdue(SECOND)).isEmpty();
  }

  @Test
  void smallRequestsAreSparedWhileOthersRun() {
    holding(9 << 20, 0).run();
    holding(20_000, 0);
    holding(500_000, 0);

    assertThat(memory.overdue(GRACE)).isEmpty();
    CallerHolding larger = holding(700_000, GRACE);
    assertThat(memory.bytes()).isGreaterThan(MAX_BYTES);
    assertThat(memory.overdue(10 * SECOND)).containsExactly(larger);
  }

  /** Random growth, shrinking and ends; giving up what is overdue always gets below the bound. */
  @Property(tries = 200)
  void givingUpWhatIsOverdueRespectsTheBound(
      @ForAll @Size(max = 100) List<@IntRange(max = 4 << 20) Integer> sizes) {
    CallerMemory account = CallerMemory.of(MAX_BYTES, GRACE);
    List<CallerHolding> open = new ArrayList<>();
    long now = 0;
    for (int size : sizes) {
      now += SECOND / 100;
      CallerHolding holding = CallerHolding.of(account, now);
      account.add(holding);
      holding.set(Kind.BODY, size, now);
      open.add(holding);
      for (CallerHolding overdue : account.overdue(now)) {
        overdue.close(now);
        open.remove(overdue);
      }
      assertThat(account.bytes())
          .isLessThanOrEqualTo(MAX_BYTES)
          .isEqualTo(open.stream().mapToLong(CallerHolding::bytes).sum());
    }
  }

  @Test
  void slowestLegalLinkIsFastEnough() {
    BodyRate rate = new BodyRate(4096, Duration.ofSeconds(10));

    assertThat(rate.tooSlow(0, Duration.ofSeconds(10))).isFalse();
    assertThat(rate.tooSlow(4096 * 10, Duration.ofSeconds(11))).isTrue();
    assertThat(rate.tooSlow(7_000_000 / 8 * 11, Duration.ofSeconds(11))).isFalse();
  }

  @Test
  void descriptorsRemainForUpstreams() {
    ConnectionBound bound = ConnectionBound.of(1024, 60, 0);

    assertThat(bound).isEqualTo(new ConnectionBound(422, 422));
    assertThat(bound.mayAccept(421)).isTrue();
    assertThat(bound.mayAccept(422)).isFalse();
    assertThat(bound.excess(422)).isEqualTo(43);
    assertThat(ConnectionBound.of(1024, 60, 100)).isEqualTo(new ConnectionBound(100, 422));
    assertThat(ConnectionBound.of(10, 60, 0)).isEqualTo(new ConnectionBound(16, 16));
  }

  @Test
  void smallAndLargeHeapsAreDividedAlike() {
    assertThat(MemoryShares.of(100_000_000, 0, 16 << 20))
        .isEqualTo(new MemoryShares(30_000_000, 16 << 20));
    assertThat(MemoryShares.of(40_000_000, 5_000_000, 16 << 20))
        .isEqualTo(new MemoryShares(5_000_000, 10_000_000));
  }
}
