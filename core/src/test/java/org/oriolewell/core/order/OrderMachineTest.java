package org.oriolewell.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that orders have a claimed fencing token, go out one at a time and use a current state. */
class OrderMachineTest {
  private static final Instant START_TIME = Instant.ofEpochSecond(1000);
  private static final Model OLD_MODEL = new Model("m", "1", "");
  private static final Model NEW_MODEL = new Model("m", "2", "");
  private static final WantedEngineState WANTED_STATE =
      new WantedEngineState("generate", Set.of(NEW_MODEL));

  private final OrderMachine machine =
      OrderMachine.of("p-1", Duration.ofSeconds(1), Duration.ofSeconds(60));

  private static EngineState engineState(long version, long fencingToken, Model... models) {
    return new EngineState(version, "generate", Set.of(models), Set.of(), fencingToken);
  }

  private List<OrderAction> on(OrderEvent event, long millisAfterStart) {
    return machine.on(event, START_TIME.plusMillis(millisAfterStart));
  }

  private void proposeClaim(long storedFencingToken) {
    on(new OrderEvent.Configured(WANTED_STATE), 0);
    assertThat(on(new OrderEvent.Tick(), 0)).containsExactly(new OrderAction.ReadState());
    assertThat(on(new OrderEvent.StateRead(engineState(1, 3, OLD_MODEL)), 0))
        .containsExactly(new OrderAction.ReadClaim());
    OrderClaim storedClaim =
        new OrderClaim(storedFencingToken, "p-0", "p-0/1", WantedEngineState.UNCHANGED);
    assertThat(on(new OrderEvent.ClaimRead(storedClaim, 9), 0))
        .containsExactly(
            new OrderAction.WriteClaim(
                9,
                new OrderClaim(Math.max(storedFencingToken, 3) + 1, "p-1", "p-1/1", WANTED_STATE)));
  }

  /**
   * Without a fencing token above all earlier ones, an order could undo a newer process's order.
   */
  @Test
  void orderHasTheClaimedFencingTokenAndTheReadStateVersion() {
    proposeClaim(7);
    on(new OrderEvent.ClaimWritten(), 0);
    on(new OrderEvent.Tick(), 0);
    assertThat(on(new OrderEvent.StateRead(engineState(1, 3, OLD_MODEL)), 0))
        .containsExactly(new OrderAction.Send(new Order.Load(NEW_MODEL), 8, 1));
  }

  /** A second order sent before the first one's effect is visible could overtake the first. */
  @Test
  void nextOrderWaitsUntilTheStateShowsTheFirstOrdersEffect() {
    proposeClaim(7);
    on(new OrderEvent.ClaimWritten(), 0);
    on(new OrderEvent.Tick(), 0);
    on(new OrderEvent.StateRead(engineState(1, 3, OLD_MODEL)), 0);
    on(new OrderEvent.OrderUnanswered(), 10);
    assertThat(on(new OrderEvent.Tick(), 10)).containsExactly(new OrderAction.ReadState());
    assertThat(on(new OrderEvent.StateRead(engineState(1, 8, OLD_MODEL)), 20)).isEmpty();
    on(new OrderEvent.Tick(), 1100);
    assertThat(on(new OrderEvent.StateRead(engineState(2, 8, OLD_MODEL, NEW_MODEL)), 1200))
        .containsExactly(new OrderAction.Confirmed(new Order.Load(NEW_MODEL)));
    on(new OrderEvent.Tick(), 1200);
    assertThat(on(new OrderEvent.StateRead(engineState(2, 8, OLD_MODEL, NEW_MODEL)), 1200))
        .containsExactly(new OrderAction.Send(new Order.Unload(OLD_MODEL), 8, 2));
  }

  /** A claim whose write got no answer must be found in the store, not written again or dropped. */
  @Test
  void unansweredClaimWriteIsFoundByReadingTheClaim() {
    proposeClaim(7);
    on(new OrderEvent.StoreFailed(), 0);
    on(new OrderEvent.Tick(), 2000);
    on(new OrderEvent.StateRead(engineState(1, 3, OLD_MODEL)), 2000);
    OrderClaim ownClaim = new OrderClaim(8, "p-1", "p-1/1", WANTED_STATE);
    assertThat(on(new OrderEvent.ClaimRead(ownClaim, 10), 2000)).isEmpty();
    assertThat(machine.fencingToken()).isEqualTo(8);
  }

  /** A process whose order was refused must claim again before it sends further orders. */
  @Test
  void refusedOrderEndsTheClaim() {
    proposeClaim(7);
    on(new OrderEvent.ClaimWritten(), 0);
    on(new OrderEvent.Tick(), 0);
    on(new OrderEvent.StateRead(engineState(1, 3, OLD_MODEL)), 0);
    assertThat(on(new OrderEvent.OrderRefused(), 10))
        .containsExactly(
            new OrderAction.Failed(new Order.Load(NEW_MODEL), "the engine refused the order"));
    on(new OrderEvent.Tick(), 2000);
    assertThat(on(new OrderEvent.StateRead(engineState(1, 12, OLD_MODEL)), 2000))
        .containsExactly(new OrderAction.ReadClaim());
  }

  /** An engine whose memory is full can load the new version only after the old one is unloaded. */
  @Test
  void failedLoadIsFollowedByAnUnload() {
    proposeClaim(7);
    on(new OrderEvent.ClaimWritten(), 0);
    on(new OrderEvent.Tick(), 0);
    on(new OrderEvent.StateRead(engineState(1, 3, OLD_MODEL)), 0);
    on(new OrderEvent.OrderTaken(), 10);
    on(new OrderEvent.Tick(), 61_000);
    on(new OrderEvent.StateRead(engineState(1, 8, OLD_MODEL)), 61_000);
    on(new OrderEvent.Tick(), 61_000);
    assertThat(on(new OrderEvent.StateRead(engineState(1, 8, OLD_MODEL)), 61_000))
        .containsExactly(new OrderAction.Send(new Order.Unload(OLD_MODEL), 8, 1));
  }

  /** A configuration without models, such as that of a drain, must not unload anything. */
  @Test
  void configurationWithoutModelsSendsNoOrder() {
    on(new OrderEvent.Configured(WantedEngineState.UNCHANGED), 0);
    assertThat(on(new OrderEvent.Tick(), 0)).isEmpty();
  }
}
