package org.oriolewell.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against orders without a token, two at a time, or on a state that has passed. */
class OrderMachineTest {
  private static final Instant START = Instant.ofEpochSecond(1000);
  private static final Model OLD = new Model("m", "1", "");
  private static final Model NEW = new Model("m", "2", "");
  private static final Wanted WANTED = new Wanted("generate", Set.of(NEW));

  private final OrderMachine machine =
      OrderMachine.of("p-1", Duration.ofSeconds(1), Duration.ofSeconds(60));

  private static EngineState engine(long version, long fencing, Model... models) {
    return new EngineState(version, "generate", Set.of(models), Set.of(), fencing);
  }

  private List<OrderAction> on(OrderEvent event, long millis) {
    return machine.on(event, START.plusMillis(millis));
  }

  private void claim(long storedFencing) {
    on(new OrderEvent.Configured(WANTED), 0);
    assertThat(on(new OrderEvent.Tick(), 0)).containsExactly(new OrderAction.ReadState());
    assertThat(on(new OrderEvent.StateRead(engine(1, 3, OLD)), 0))
        .containsExactly(new OrderAction.ReadClaim());
    OrderClaim stored = new OrderClaim(storedFencing, "p-0", "p-0/1", Wanted.NOTHING);
    assertThat(on(new OrderEvent.ClaimRead(stored, 9), 0))
        .containsExactly(
            new OrderAction.WriteClaim(
                9, new OrderClaim(Math.max(storedFencing, 3) + 1, "p-1", "p-1/1", WANTED)));
  }

  /** An order without a token above all earlier ones could undo a newer process's order. */
  @Test
  void eachOrderHasTheClaimedTokenAndTheObservedState() {
    claim(7);
    on(new OrderEvent.ClaimWritten(), 0);
    on(new OrderEvent.Tick(), 0);
    assertThat(on(new OrderEvent.StateRead(engine(1, 3, OLD)), 0))
        .containsExactly(new OrderAction.Send(new Order.Load(NEW), 8, 1));
  }

  /** A second order before the first one's effect is visible could overtake it. */
  @Test
  void nextOrderWaitsUntilTheStateShowsTheFirst() {
    claim(7);
    on(new OrderEvent.ClaimWritten(), 0);
    on(new OrderEvent.Tick(), 0);
    on(new OrderEvent.StateRead(engine(1, 3, OLD)), 0);
    on(new OrderEvent.OrderUnanswered(), 10);
    assertThat(on(new OrderEvent.Tick(), 10)).containsExactly(new OrderAction.ReadState());
    assertThat(on(new OrderEvent.StateRead(engine(1, 8, OLD)), 20)).isEmpty();
    on(new OrderEvent.Tick(), 1100);
    assertThat(on(new OrderEvent.StateRead(engine(2, 8, OLD, NEW)), 1200))
        .containsExactly(new OrderAction.Confirmed(new Order.Load(NEW)));
    on(new OrderEvent.Tick(), 1200);
    assertThat(on(new OrderEvent.StateRead(engine(2, 8, OLD, NEW)), 1200))
        .containsExactly(new OrderAction.Send(new Order.Unload(OLD), 8, 2));
  }

  /** A claim whose answer was lost must be recognised, not taken twice or given up. */
  @Test
  void lostAnswerOfTheClaimIsSettledByReadingIt() {
    claim(7);
    on(new OrderEvent.StoreFailed(), 0);
    on(new OrderEvent.Tick(), 2000);
    on(new OrderEvent.StateRead(engine(1, 3, OLD)), 2000);
    OrderClaim own = new OrderClaim(8, "p-1", "p-1/1", WANTED);
    assertThat(on(new OrderEvent.ClaimRead(own, 10), 2000)).isEmpty();
    assertThat(machine.fencing()).isEqualTo(8);
  }

  /** A process that another one has superseded must claim again before it gives orders. */
  @Test
  void refusedOrderEndsTheClaim() {
    claim(7);
    on(new OrderEvent.ClaimWritten(), 0);
    on(new OrderEvent.Tick(), 0);
    on(new OrderEvent.StateRead(engine(1, 3, OLD)), 0);
    assertThat(on(new OrderEvent.OrderRefused(), 10))
        .containsExactly(new OrderAction.Failed(new Order.Load(NEW), "the engine refused it"));
    on(new OrderEvent.Tick(), 2000);
    assertThat(on(new OrderEvent.StateRead(engine(1, 12, OLD)), 2000))
        .containsExactly(new OrderAction.ReadClaim());
  }

  /** An engine whose memory is full can load the new version only after the old one is gone. */
  @Test
  void failedLoadIsFollowedByAnUnload() {
    claim(7);
    on(new OrderEvent.ClaimWritten(), 0);
    on(new OrderEvent.Tick(), 0);
    on(new OrderEvent.StateRead(engine(1, 3, OLD)), 0);
    on(new OrderEvent.OrderTaken(), 10);
    on(new OrderEvent.Tick(), 61_000);
    on(new OrderEvent.StateRead(engine(1, 8, OLD)), 61_000);
    on(new OrderEvent.Tick(), 61_000);
    assertThat(on(new OrderEvent.StateRead(engine(1, 8, OLD)), 61_000))
        .containsExactly(new OrderAction.Send(new Order.Unload(OLD), 8, 1));
  }

  /** Settings without models, such as a drain, must not unload anything. */
  @Test
  void nothingWantedLeavesTheEngineAlone() {
    on(new OrderEvent.Configured(Wanted.NOTHING), 0);
    assertThat(on(new OrderEvent.Tick(), 0)).isEmpty();
  }
}
