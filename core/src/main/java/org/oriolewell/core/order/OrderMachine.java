package org.oriolewell.core.order;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.statechart.StateChart;

/**
 * State machine of the orders that one process sends to one model engine.
 *
 * <p>It compares the engine's reported state with the wanted state and sends at most one order at a
 * time. Before the first order for a wanted state it writes a claim to the store, which gives it a
 * fencing token above all earlier ones. An order stays outstanding until the engine refuses it, the
 * engine's state shows its effect or its time limit has passed; the next order is then based on a
 * newly read state.
 *
 * <p>Not thread-safe. Actions must be performed in the order of the list.
 */
public final class OrderMachine {
  private static final StateChart CHART = StateChart.load("engine-orders");

  private final String processId;
  private final Duration pollInterval;
  private final Duration orderTimeout;
  private WantedEngineState wanted = WantedEngineState.UNCHANGED;
  private String state = CHART.initial();
  private Instant nextReadAt = Instant.MIN;
  private Instant orderDeadline = Instant.MAX;
  private long claimWriteCount;
  private long claimedFencingToken;
  private long engineFencingToken;
  private @Nullable OrderClaim proposedClaim;
  private @Nullable OrderClaim heldClaim;
  private @Nullable Order outstandingOrder;
  private boolean unloadBeforeLoad;
  private List<OrderAction> actions = new ArrayList<>();

  private OrderMachine(String processId, Duration pollInterval, Duration orderTimeout) {
    this.processId = processId;
    this.pollInterval = pollInterval;
    this.orderTimeout = orderTimeout;
  }

  /**
   * Returns a state machine that holds no claim.
   *
   * @param processId id of this process, different after each start of the process
   * @param pollInterval time between two reads of the engine's state
   * @param orderTimeout time within which an order must take effect
   */
  public static OrderMachine of(String processId, Duration pollInterval, Duration orderTimeout) {
    return new OrderMachine(processId, pollInterval, orderTimeout);
  }

  /** Returns the current state's name, one of those in {@code charts/engine-orders.toml}. */
  public String state() {
    return state;
  }

  /** Returns the fencing token of the claim that this process holds; 0 if it holds none. */
  public long fencingToken() {
    return heldClaim == null ? 0 : claimedFencingToken;
  }

  /** Handles an event and returns the actions that the process must perform. */
  public List<OrderAction> on(OrderEvent event, Instant now) {
    actions = new ArrayList<>();
    if (event instanceof OrderEvent.Configured configured) {
      handleConfigured(configured.wanted(), now);
    } else if (event instanceof OrderEvent.Tick) {
      handleTick(now);
    } else if (event instanceof OrderEvent.StateRead read) {
      handleStateRead(read.state(), now);
    } else if (event instanceof OrderEvent.StateFailed) {
      transitionIfPossible("failed", now);
    } else if (event instanceof OrderEvent.ClaimRead read) {
      handleClaimRead(read, now);
    } else if (event instanceof OrderEvent.ClaimWritten) {
      handleClaimWritten(now);
    } else if (event instanceof OrderEvent.ClaimConflict
        || event instanceof OrderEvent.StoreFailed) {
      // If the write took effect after all, the next read of the claim finds its write id.
      transitionIfPossible("failed", now);
    } else {
      handleOrderAnswer(event, now);
    }
    return actions;
  }

  private void handleConfigured(WantedEngineState newWanted, Instant now) {
    if (!newWanted.equals(wanted)) {
      wanted = newWanted;
      heldClaim = null;
      nextReadAt = now;
    }
  }

  private void handleTick(Instant now) {
    if (state.equals("settled")
        && !wanted.equals(WantedEngineState.UNCHANGED)
        && !now.isBefore(nextReadAt)) {
      transition("due");
      actions.add(new OrderAction.ReadState());
    } else if (state.equals("verifying") && !now.isBefore(nextReadAt)) {
      nextReadAt = now.plus(pollInterval);
      actions.add(new OrderAction.ReadState());
    }
  }

  private void handleStateRead(EngineState engine, Instant now) {
    engineFencingToken = engine.fencingToken();
    if (state.equals("verifying")) {
      verifyOutstandingOrder(engine, now);
    } else if (state.equals("observing")) {
      sendNextOrder(engine, now);
    }
  }

  private void sendNextOrder(EngineState engine, Instant now) {
    if (heldClaim != null && engine.fencingToken() > claimedFencingToken) {
      heldClaim = null;
      actions.add(new OrderAction.ClaimLost());
    }
    Optional<Order> nextOrder = nextOrder(engine);
    if (nextOrder.isEmpty()) {
      transitionIfPossible("matches", now);
    } else if (heldClaim == null) {
      transition("differs_without_claim");
      actions.add(new OrderAction.ReadClaim());
    } else {
      transition("differs");
      outstandingOrder = nextOrder.get();
      orderDeadline = now.plus(orderTimeout);
      actions.add(new OrderAction.Send(nextOrder.get(), claimedFencingToken, engine.version()));
    }
  }

  /** Returns the next order on the way to the wanted state; empty if the engine matches it. */
  private Optional<Order> nextOrder(EngineState engine) {
    Optional<Order> loadOrder =
        new TreeSet<>(wanted.models())
            .stream()
                .filter(model -> !engine.models().contains(model))
                .filter(model -> !engine.loading().contains(model))
                .findFirst()
                .map(Order.Load::new);
    Optional<Order> unloadOrder =
        wanted.models().isEmpty()
            ? Optional.empty()
            : new TreeSet<>(engine.models())
                .stream()
                    .filter(model -> !wanted.models().contains(model))
                    .findFirst()
                    .map(Order.Unload::new);
    Optional<Order> roleOrder =
        wanted.role().isEmpty() || wanted.role().equals(engine.role())
            ? Optional.empty()
            : Optional.of(new Order.Role(wanted.role()));
    // Loading before unloading keeps a model available at all times. After a failed load the old
    // model is unloaded first, since the engine's memory may be full.
    return unloadBeforeLoad
        ? unloadOrder.or(() -> loadOrder).or(() -> roleOrder)
        : loadOrder.or(() -> roleOrder).or(() -> unloadOrder);
  }

  private void handleClaimRead(OrderEvent.ClaimRead read, Instant now) {
    if (!state.equals("reading_claim")) {
      return;
    }
    OrderClaim storedClaim = read.claim();
    OrderClaim ownClaim = proposedClaim;
    if (storedClaim != null
        && ownClaim != null
        && storedClaim.equals(ownClaim)
        && ownClaim.wanted().equals(wanted)) {
      holdClaim(ownClaim);
      transitionIfPossible("claim_found", now);
      nextReadAt = now;
      return;
    }
    long nextFencingToken =
        Math.max(storedClaim == null ? 0 : storedClaim.fencing(), engineFencingToken) + 1;
    OrderClaim claim =
        new OrderClaim(nextFencingToken, processId, processId + "/" + ++claimWriteCount, wanted);
    proposedClaim = claim;
    transition("claim_read");
    actions.add(new OrderAction.WriteClaim(read.revision(), claim));
  }

  private void handleClaimWritten(Instant now) {
    OrderClaim claim = proposedClaim;
    if (state.equals("writing_claim") && claim != null) {
      if (claim.wanted().equals(wanted)) {
        holdClaim(claim);
      }
      transitionIfPossible("claim_written", now);
      nextReadAt = now;
    }
  }

  private void holdClaim(OrderClaim claim) {
    heldClaim = claim;
    claimedFencingToken = claim.fencing();
  }

  private void handleOrderAnswer(OrderEvent event, Instant now) {
    Order order = outstandingOrder;
    if (!state.equals("sent") || order == null) {
      return;
    }
    if (event instanceof OrderEvent.OrderRefused) {
      actions.add(new OrderAction.Failed(order, "the engine refused the order"));
      outstandingOrder = null;
      heldClaim = null;
      transitionIfPossible("refused", now);
    } else {
      transition("answered");
      nextReadAt = now;
    }
  }

  private void verifyOutstandingOrder(EngineState engine, Instant now) {
    Order order = outstandingOrder;
    if (order == null) {
      return;
    }
    if (order.visibleIn(engine)) {
      actions.add(new OrderAction.Confirmed(order));
      unloadBeforeLoad = false;
      finishOrder(now);
    } else if (engine.fencingToken() > claimedFencingToken || !now.isBefore(orderDeadline)) {
      actions.add(
          new OrderAction.Failed(order, "the engine's state does not show the order's effect"));
      unloadBeforeLoad = order instanceof Order.Load;
      finishOrder(now);
    }
  }

  private void finishOrder(Instant now) {
    outstandingOrder = null;
    transitionIfPossible("done", now);
    nextReadAt = now;
  }

  private void transition(String event) {
    state = CHART.next(state, event);
  }

  private void transitionIfPossible(String event, Instant now) {
    Optional<String> nextState = CHART.after(state, event);
    if (nextState.isPresent()) {
      state = nextState.get();
      nextReadAt = now.plus(pollInterval);
    }
  }
}
