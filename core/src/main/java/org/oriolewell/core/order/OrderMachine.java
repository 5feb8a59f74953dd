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
 * State machine of the orders of one process to one engine.
 *
 * <p>It compares the engine's reported state with the wanted one and sends at most one order at a
 * time. Before its first order for a wanted state it claims the engine's order key, which gives it
 * a fencing token above all earlier ones. An order that was sent is finished only when the engine's
 * state shows its effect or its time is up; the next one is decided on a newly read state.
 *
 * <p>Not thread-safe. Actions must be carried out in their order.
 */
public final class OrderMachine {
  private static final StateChart CHART = StateChart.load("engine-orders");

  private final String process;
  private final Duration interval;
  private final Duration limit;
  private Wanted wanted = Wanted.NOTHING;
  private String state = CHART.initial();
  private Instant due = Instant.MIN;
  private Instant giveUp = Instant.MAX;
  private long writes;
  private long fencing;
  private long engineFencing;
  private @Nullable OrderClaim proposed;
  private @Nullable OrderClaim held;
  private @Nullable Order outstanding;
  private boolean unloadFirst;
  private List<OrderAction> actions = new ArrayList<>();

  private OrderMachine(String process, Duration interval, Duration limit) {
    this.process = process;
    this.interval = interval;
    this.limit = limit;
  }

  /**
   * Returns a machine without a claim.
   *
   * @param process id of this process, different after each start
   * @param interval time between two looks at the engine
   * @param limit time within which an order must take effect
   */
  public static OrderMachine of(String process, Duration interval, Duration limit) {
    return new OrderMachine(process, interval, limit);
  }

  /** Returns the state's name, as in {@code charts/engine-orders.toml}. */
  public String state() {
    return state;
  }

  /** Returns the fencing token of the present claim; 0 if there is none. */
  public long fencing() {
    return held == null ? 0 : fencing;
  }

  /** Handles an event and returns what the program must do. */
  public List<OrderAction> on(OrderEvent event, Instant now) {
    actions = new ArrayList<>();
    if (event instanceof OrderEvent.Configured configured) {
      configured(configured.wanted(), now);
    } else if (event instanceof OrderEvent.Tick) {
      tick(now);
    } else if (event instanceof OrderEvent.StateRead read) {
      observed(read.state(), now);
    } else if (event instanceof OrderEvent.StateFailed) {
      settleIf("failed", now);
    } else if (event instanceof OrderEvent.ClaimRead read) {
      claimRead(read, now);
    } else if (event instanceof OrderEvent.ClaimWritten) {
      claimWritten(now);
    } else if (event instanceof OrderEvent.ClaimConflict
        || event instanceof OrderEvent.StoreFailed) {
      // A write that may have taken effect is found by its write id when the key is read again.
      settleIf("failed", now);
    } else {
      answered(event, now);
    }
    return actions;
  }

  private void configured(Wanted next, Instant now) {
    if (!next.equals(wanted)) {
      wanted = next;
      held = null;
      due = now;
    }
  }

  private void tick(Instant now) {
    if (state.equals("settled") && !wanted.equals(Wanted.NOTHING) && !now.isBefore(due)) {
      move("due");
      actions.add(new OrderAction.ReadState());
    } else if (state.equals("verifying") && !now.isBefore(due)) {
      due = now.plus(interval);
      actions.add(new OrderAction.ReadState());
    }
  }

  private void observed(EngineState engine, Instant now) {
    engineFencing = engine.fencing();
    if (state.equals("verifying")) {
      verify(engine, now);
    } else if (state.equals("observing")) {
      decide(engine, now);
    }
  }

  private void decide(EngineState engine, Instant now) {
    if (held != null && engine.fencing() > fencing) {
      held = null;
      actions.add(new OrderAction.ClaimLost());
    }
    Optional<Order> next = next(engine);
    if (next.isEmpty()) {
      settleIf("matches", now);
    } else if (held == null) {
      move("differs_without_claim");
      actions.add(new OrderAction.ReadClaim());
    } else {
      move("differs");
      outstanding = next.get();
      giveUp = now.plus(limit);
      actions.add(new OrderAction.Send(next.get(), fencing, engine.version()));
    }
  }

  /** Returns the order that brings the engine closest to what is wanted, or empty. */
  private Optional<Order> next(EngineState engine) {
    Optional<Order> load =
        new TreeSet<>(wanted.models())
            .stream()
                .filter(model -> !engine.models().contains(model))
                .filter(model -> !engine.loading().contains(model))
                .findFirst()
                .map(Order.Load::new);
    Optional<Order> unload =
        wanted.models().isEmpty()
            ? Optional.empty()
            : new TreeSet<>(engine.models())
                .stream()
                    .filter(model -> !wanted.models().contains(model))
                    .findFirst()
                    .map(Order.Unload::new);
    Optional<Order> role =
        wanted.role().isEmpty() || wanted.role().equals(engine.role())
            ? Optional.empty()
            : Optional.of(new Order.Role(wanted.role()));
    // Loading first leaves no time without a model; an engine whose memory is full needs the other
    // order, which a failed load shows.
    return unloadFirst
        ? unload.or(() -> load).or(() -> role)
        : load.or(() -> role).or(() -> unload);
  }

  private void claimRead(OrderEvent.ClaimRead read, Instant now) {
    if (!state.equals("reading_claim")) {
      return;
    }
    OrderClaim found = read.claim();
    OrderClaim own = proposed;
    if (found != null && own != null && found.equals(own) && own.wanted().equals(wanted)) {
      hold(own);
      settleIf("claim_found", now);
      due = now;
      return;
    }
    long next = Math.max(found == null ? 0 : found.fencing(), engineFencing) + 1;
    OrderClaim claim = new OrderClaim(next, process, process + "/" + ++writes, wanted);
    proposed = claim;
    move("claim_read");
    actions.add(new OrderAction.WriteClaim(read.revision(), claim));
  }

  private void claimWritten(Instant now) {
    OrderClaim claim = proposed;
    if (state.equals("writing_claim") && claim != null) {
      if (claim.wanted().equals(wanted)) {
        hold(claim);
      }
      settleIf("claim_written", now);
      due = now;
    }
  }

  private void hold(OrderClaim claim) {
    held = claim;
    fencing = claim.fencing();
  }

  private void answered(OrderEvent event, Instant now) {
    Order order = outstanding;
    if (!state.equals("sent") || order == null) {
      return;
    }
    if (event instanceof OrderEvent.OrderRefused) {
      actions.add(new OrderAction.Failed(order, "the engine refused it"));
      outstanding = null;
      held = null;
      settleIf("refused", now);
    } else {
      move("answered");
      due = now;
    }
  }

  private void verify(EngineState engine, Instant now) {
    Order order = outstanding;
    if (order == null) {
      return;
    }
    if (order.visibleIn(engine)) {
      actions.add(new OrderAction.Confirmed(order));
      unloadFirst = false;
      finish(now);
    } else if (engine.fencing() > fencing || !now.isBefore(giveUp)) {
      actions.add(new OrderAction.Failed(order, "the engine's state does not show it"));
      unloadFirst = order instanceof Order.Load;
      finish(now);
    }
  }

  private void finish(Instant now) {
    outstanding = null;
    settleIf("done", now);
    due = now;
  }

  private void move(String event) {
    state = CHART.next(state, event);
  }

  private void settleIf(String event, Instant now) {
    Optional<String> next = CHART.after(state, event);
    if (next.isPresent()) {
      state = next.get();
      due = now.plus(interval);
    }
  }
}
