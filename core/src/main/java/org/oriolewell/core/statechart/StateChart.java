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
 * A state chart: named states and the transitions between them.
 *
 * <p>Example: {@code StateChart chart = StateChart.load("shard-owner"); chart.next("unowned",
 * "claim")}.
 */
public final class StateChart {
  /**
   * One transition.
   *
   * @param from state before
   * @param event event that causes it
   * @param to state after
   */
  public record Transition(String from, String event, String to) {}

  private final String name;
  private final String initial;
  private final List<String> states;
  private final List<Transition> transitions;
  private final Map<String, Map<String, String>> table = new HashMap<>();

  private StateChart(
      String name, String initial, List<String> states, List<Transition> transitions) {
    this.name = name;
    this.initial = initial;
    this.states = List.copyOf(states);
    this.transitions = List.copyOf(transitions);
    if (!states.contains(initial)) {
      throw new IllegalArgumentException(name + ": the initial state " + initial + " is missing");
    }
    transitions.forEach(this::add);
  }

  private void add(Transition transition) {
    if (!states.contains(transition.from()) || !states.contains(transition.to())) {
      throw new IllegalArgumentException(name + ": unknown state in " + transition);
    }
    Map<String, String> row = table.computeIfAbsent(transition.from(), from -> new HashMap<>());
    if (row.put(transition.event(), transition.to()) != null) {
      throw new IllegalArgumentException(name + ": two transitions for " + transition);
    }
  }

  /**
   * Loads a chart from the class path.
   *
   * @param name file name under {@code charts} without its suffix
   * @throws IllegalArgumentException if the chart is missing or contradicts itself
   */
  public static StateChart load(String name) {
    String path = "/charts/" + name + ".toml";
    try (InputStream in = StateChart.class.getResourceAsStream(path)) {
      if (in == null) {
        throw new IllegalArgumentException("state chart " + path + " is not on the class path");
      }
      return parse(name, new TomlMapper().readTree(in));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static StateChart parse(String name, JsonNode root) {
    List<String> states = new ArrayList<>();
    root.path("states").forEach(node -> states.add(node.asText()));
    List<Transition> transitions = new ArrayList<>();
    root.path("transition")
        .forEach(
            node ->
                transitions.add(
                    new Transition(
                        node.path("from").asText(),
                        node.path("event").asText(),
                        node.path("to").asText())));
    return new StateChart(name, root.path("initial").asText(), states, transitions);
  }

  /** Returns the state in which a new machine is. */
  public String initial() {
    return initial;
  }

  /** Returns all states. */
  public List<String> states() {
    return states;
  }

  /** Returns all transitions, in the file's order. */
  public List<Transition> transitions() {
    return transitions;
  }

  /** Returns the state after an event, or empty if the state doesn't accept it. */
  public Optional<String> after(String state, String event) {
    return Optional.ofNullable(table.getOrDefault(state, Map.of()).get(event));
  }

  /**
   * Returns the state after an event.
   *
   * @throws IllegalStateException if the state doesn't accept the event; the program has a defect
   */
  public String next(String state, String event) {
    return after(state, event)
        .orElseThrow(
            () ->
                new IllegalStateException(
                    name + ": state " + state + " does not accept event " + event));
  }
}
