package org.oriolewell.core.drain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.oriolewell.core.statechart.StateChart;

/**
 * State machine of a process that drains or stops.
 *
 * <p>A drain that the configuration or the host list asks for lets the process run on without work,
 * so that the drain can be withdrawn. A stop ends the process.
 *
 * <p>Not thread-safe. Actions must be carried out in their order.
 */
public final class DrainMachine {
  private static final StateChart CHART = StateChart.load("agent-drain");

  private final DrainSettings settings;
  private final Set<String> sources = new TreeSet<>();
  private String state = CHART.initial();
  private Instant since = Instant.MIN;
  private boolean timedOut;

  private DrainMachine(DrainSettings settings) {
    this.settings = settings;
  }

  /** Returns a machine that accepts calls. */
  public static DrainMachine of(DrainSettings settings) {
    return new DrainMachine(settings);
  }

  /** Returns the state's name, as in {@code charts/agent-drain.toml}. */
  public String state() {
    return state;
  }

  /** Returns whether calls are accepted. */
  public boolean accepting() {
    return state.equals("serving");
  }

  /** Returns who wants the process to drain, in alphabetical order. */
  public Set<String> sources() {
    return Set.copyOf(sources);
  }

  /** Returns whether a time limit ended a wait of the stop. */
  public boolean timedOut() {
    return timedOut;
  }

  /** Handles an event and returns what the program must do. */
  public List<DrainAction> on(DrainEvent event, Instant now) {
    if (event instanceof DrainEvent.Requested requested) {
      sources.add(requested.source());
      return move("drain", now);
    }
    if (event instanceof DrainEvent.Withdrawn withdrawn) {
      return sources.remove(withdrawn.source()) && sources.isEmpty()
          ? move("resume", now)
          : List.of();
    }
    if (event instanceof DrainEvent.Stop) {
      return move("stop", now);
    }
    if (event instanceof DrainEvent.Idle) {
      return move("idle", now);
    }
    return event instanceof DrainEvent.Released ? move("released", now) : tick(now);
  }

  private List<DrainAction> tick(Instant now) {
    Duration limit =
        switch (state) {
          case "stopping" -> settings.calls();
          case "releasing" -> settings.release();
          default -> Duration.ZERO;
        };
    if (limit.isZero() || now.isBefore(since.plus(limit))) {
      return List.of();
    }
    timedOut = true;
    return move("timeout", now);
  }

  /** Takes a transition if the chart has one, and returns what entering its state requires. */
  private List<DrainAction> move(String event, Instant now) {
    Optional<String> next = CHART.after(state, event);
    if (next.isEmpty() || next.get().equals(state)) {
      return List.of();
    }
    boolean accepted = accepting();
    state = next.get();
    since = now;
    List<DrainAction> actions = new ArrayList<>();
    if (accepted) {
      actions.add(DrainAction.REFUSE_CALLS);
    }
    switch (state) {
      case "serving" -> actions.add(DrainAction.ACCEPT_CALLS);
      case "drained", "releasing" -> actions.add(DrainAction.RELEASE_SHARDS);
      case "stopped" -> actions.add(DrainAction.EXIT);
      default -> {}
    }
    return actions;
  }
}
