package org.oriolewell.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Role, models and fencing token of an engine. */
final class EngineModels {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final boolean checksFencing;
  private final TreeSet<String> loaded = new TreeSet<>();
  private final TreeSet<String> loading = new TreeSet<>();
  private String role;
  private long fencing;
  private long version = 1;

  /** Reason for which an order is refused. */
  enum Refusal {
    /** Another order with a higher fencing token came before. */
    OLD_FENCING_TOKEN,
    /** The engine isn't in the state that the order expects. */
    UNEXPECTED_STATE
  }

  /** Reports a refused order. */
  static final class OrderException extends Exception {
    private static final long serialVersionUID = 1L;

    final Refusal refusal;

    OrderException(Refusal refusal) {
      super(refusal.name());
      this.refusal = refusal;
    }
  }

  EngineModels(List<String> models, String role, boolean checksFencing) {
    loaded.addAll(models);
    this.role = role;
    this.checksFencing = checksFencing;
  }

  /** Returns the text that identifies a model with its version and adapter. */
  static String name(String model, String version, String adapter) {
    return model + ":" + version + (adapter.isEmpty() ? "" : "+" + adapter);
  }

  /** Returns whether a model, given by its name with or without version, can generate. */
  synchronized boolean serves(String model) {
    return model.isEmpty()
        || loaded.contains(model)
        || loaded.stream().anyMatch(name -> name.startsWith(model + ":"));
  }

  synchronized boolean generates() {
    return role.equals("generate");
  }

  /**
   * Checks an order's fencing token and expected state.
   *
   * @param token fencing token; ignored if the engine doesn't check it
   * @param expect a state text, a state version, or members of the state; missing for no check
   */
  synchronized void check(long token, JsonNode expect) throws OrderException {
    if (checksFencing && token < fencing) {
      throw new OrderException(Refusal.OLD_FENCING_TOKEN);
    }
    if (!expected(expect)) {
      throw new OrderException(Refusal.UNEXPECTED_STATE);
    }
    fencing = Math.max(fencing, token);
  }

  private boolean expected(JsonNode expect) {
    if (expect.isMissingNode() || expect.isNull()) {
      return true;
    }
    if (expect.isNumber()) {
      return expect.longValue() == version;
    }
    if (expect.isTextual()) {
      return expect.textValue().equals(text());
    }
    JsonNode state = JSON.valueToTree(json());
    return expect.properties().stream()
        .allMatch(member -> member.getValue().equals(state.get(member.getKey())));
  }

  /** Starts to load a model; returns false if it's already there or on its way. */
  synchronized boolean startLoading(String name) {
    if (loaded.contains(name) || !loading.add(name)) {
      return false;
    }
    version++;
    return true;
  }

  /** Ends the loading of a model. */
  synchronized void endLoading(String name, boolean success) {
    if (loading.remove(name)) {
      version++;
      if (success) {
        loaded.add(name);
      }
    }
  }

  /** Removes a model, also one that is loading. */
  synchronized void unload(String name) {
    if (loaded.remove(name) | loading.remove(name)) {
      version++;
    }
  }

  synchronized void role(String newRole) {
    if (!role.equals(newRole)) {
      role = newRole;
      version++;
    }
  }

  private String text() {
    return role + "|" + String.join(",", loaded);
  }

  /** Returns the state as {@code GET /v1/state} reports it. */
  synchronized Map<String, Object> json() {
    return StandinServer.ordered(
        "state", text(),
        "state_version", version,
        "role", role,
        "models", describe(loaded),
        "loading", describe(loading),
        "fencing", fencing,
        "checks_fencing", checksFencing);
  }

  private static List<Map<String, Object>> describe(TreeSet<String> names) {
    List<Map<String, Object>> models = new ArrayList<>();
    for (String name : names) {
      int colon = name.indexOf(':');
      int plus = name.indexOf('+', colon + 1);
      models.add(
          StandinServer.ordered(
              "model", colon < 0 ? name : name.substring(0, colon),
              "version",
                  colon < 0 ? "" : name.substring(colon + 1, plus < 0 ? name.length() : plus),
              "adapter", plus < 0 ? "" : name.substring(plus + 1)));
    }
    return models;
  }
}
