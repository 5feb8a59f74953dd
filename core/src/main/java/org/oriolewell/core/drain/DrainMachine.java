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
 * State machine of the drain and stop of an agent.
 *
 * <p>The configuration or the host list can request a drain. A drained agent keeps running without
 * calls, so that the drain can be withdrawn. A stop ends the process.
 *
 * <p>Not thread-safe. Actions must be performed in the order of the list.
 */
public final class DrainMachine {
  private static final StateChart CHART = StateChart.load("agent-drain");

  private final DrainSettings settings;
  private final Set<String> drainSources = new TreeSet<>();
  private String state = CHART.initial();
  private Instant stateEnteredAt = Instant.MIN;
  private boolean timedOut;

  private DrainMachine(DrainSettings settings) {
    this.settings = settings;
  }

  /** Returns a state machine in its initial state, in which calls are accepted. */
  public static DrainMachine of(DrainSettings settings) {
    return new DrainMachine(settings);
  }

  /** Returns the current state's name, one of those in {@code charts/agent-drain.toml}. */
  public String state() {
    return state;
  }

  /** Returns whether the agent accepts new calls. */
  public boolean acceptsCalls() {
    return state.equals("serving");
  }

  /** Returns the sources whose drain requests are in effect. */
  public Set<String> sources() {
    return Set.copyOf(drainSources);
  }

  /** Returns whether the stop stopped waiting for calls or shards because of a time limit. */
  public boolean timedOut() {
    return timedOut;
  }

  /** Handles an event and returns the actions that the agent must perform. */
  public List<DrainAction> on(DrainEvent event, Instant now) {
    if (event instanceof DrainEvent.Requested requested) {
      drainSources.add(requested.source());
      return transition("drain", now);
    }
    if (event instanceof DrainEvent.Withdrawn withdrawn) {
      return drainSources.remove(withdrawn.source()) && drainSources.isEmpty()
          ? transition("resume", now)
          : List.of();
    }
    if (event instanceof DrainEvent.Stop) {
      return transition("stop", now);
    }
    if (event instanceof DrainEvent.Idle) {
      return transition("idle", now);
    }
    return event instanceof DrainEvent.Released ? transition("released", now) : handleTick(now);
  }

  private List<DrainAction> handleTick(Instant now) {
    Duration timeLimit =
        switch (state) {
          case "stopping" -> settings.callTimeout();
          case "releasing" -> settings.releaseTimeout();
          default -> Duration.ZERO;
        };
    if (timeLimit.isZero() || now.isBefore(stateEnteredAt.plus(timeLimit))) {
      return List.of();
    }
    timedOut = true;
    return transition("timeout", now);
  }

  /** Moves to the chart's next state, if there is one, and returns the actions of entering it. */
  private List<DrainAction> transition(String event, Instant now) {
    Optional<String> nextState = CHART.after(state, event);
    if (nextState.isEmpty() || nextState.get().equals(state)) {
      return List.of();
    }
    boolean wasAccepting = acceptsCalls();
    state = nextState.get();
    stateEnteredAt = now;
    List<DrainAction> actions = new ArrayList<>();
    if (wasAccepting) {
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
