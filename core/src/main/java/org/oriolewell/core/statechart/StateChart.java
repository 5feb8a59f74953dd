package org.oriolewell.core.statechart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A state chart: the named states of a state machine and the transitions between them.
 *
 * <p>Example: {@code StateChart chart = StateChart.load("shard-owner"); chart.next("unowned",
 * "claim")}.
 */
public final class StateChart {
  /**
   * A transition from one state to another.
   *
   * @param from name of the state before the transition
   * @param event name of the event that causes the transition
   * @param to name of the state after the transition
   */
  public record Transition(String from, String event, String to) {}

  private final String chartName;
  private final String initialState;
  private final List<String> states;
  private final List<Transition> transitions;
  private final Map<String, Map<String, String>> nextStates = new HashMap<>();

  private StateChart(
      String chartName, String initialState, List<String> states, List<Transition> transitions) {
    this.chartName = chartName;
    this.initialState = initialState;
    this.states = List.copyOf(states);
    this.transitions = List.copyOf(transitions);
    if (!states.contains(initialState)) {
      throw new IllegalArgumentException(
          chartName + ": the initial state " + initialState + " is missing");
    }
    transitions.forEach(this::addTransition);
  }

  private void addTransition(Transition transition) {
    if (!states.contains(transition.from()) || !states.contains(transition.to())) {
      throw new IllegalArgumentException(chartName + ": unknown state in " + transition);
    }
    Map<String, String> nextStateByEvent =
        nextStates.computeIfAbsent(transition.from(), from -> new HashMap<>());
    if (nextStateByEvent.put(transition.event(), transition.to()) != null) {
      throw new IllegalArgumentException(chartName + ": two transitions for " + transition);
    }
  }

  /**
   * Loads a state chart from the class path.
   *
   * @param chartName name of the chart's file under {@code charts}, without its suffix
   * @throws IllegalArgumentException if the chart is missing, names an unknown state, or has two
   *     transitions for one state and event
   */
  public static StateChart load(String chartName) {
    String resourcePath = "/charts/" + chartName + ".toml";
    try (InputStream chartFile = StateChart.class.getResourceAsStream(resourcePath)) {
      if (chartFile == null) {
        throw new IllegalArgumentException(
            "state chart " + resourcePath + " is not on the class path");
      }
      return parse(chartName, new TomlMapper().readTree(chartFile));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static StateChart parse(String chartName, JsonNode chartNode) {
    List<String> states = new ArrayList<>();
    chartNode.path("states").forEach(childNode -> states.add(childNode.asText()));
    List<Transition> transitions = new ArrayList<>();
    chartNode
        .path("transition")
        .forEach(
            childNode ->
                transitions.add(
                    new Transition(
                        childNode.path("from").asText(),
                        childNode.path("event").asText(),
                        childNode.path("to").asText())));
    return new StateChart(chartName, chartNode.path("initial").asText(), states, transitions);
  }

  /** Returns the name of the state in which a new state machine starts. */
  public String initial() {
    return initialState;
  }

  /** Returns the names of all states, in the file's order. */
  public List<String> states() {
    return states;
  }

  /** Returns all transitions, in the file's order. */
  public List<Transition> transitions() {
    return transitions;
  }

  /** Returns the state that an event leads to, or empty if the state doesn't accept the event. */
  public Optional<String> after(String state, String event) {
    return Optional.ofNullable(nextStates.getOrDefault(state, Map.of()).get(event));
  }

  /**
   * Returns the state that an event leads to.
   *
   * @throws IllegalStateException if the state doesn't accept the event, which is a programming
   *     error
   */
  public String next(String state, String event) {
    return after(state, event)
        .orElseThrow(
            () ->
                new IllegalStateException(
                    chartName + ": state " + state + " does not accept event " + event));
  }
}
