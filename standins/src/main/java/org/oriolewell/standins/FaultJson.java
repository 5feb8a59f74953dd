package org.oriolewell.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Reads and writes faults as JSON. */
final class FaultJson {
  private static final Set<String> LIMITS = Set.of("count", "duration_ms", "on");

  private FaultJson() {}

  /**
   * Applies the body of {@code POST /faults} to a plan.
   *
   * @throws IllegalArgumentException if a member or a value isn't known; nothing is applied then
   */
  static void apply(JsonNode body, FaultPlan plan) {
    if (!body.isObject()) {
      throw new IllegalArgumentException("the body is not a JSON object; send one");
    }
    List<Runnable> steps = new ArrayList<>();
    body.properties()
        .forEach(
            member -> {
              if (member.getKey().equals("clear")) {
                steps.add(0, plan::clear);
              } else if (!LIMITS.contains(member.getKey())) {
                steps.add(step(kind(member.getKey()), member.getValue(), body, plan));
              }
            });
    steps.forEach(Runnable::run);
  }

  private static Runnable step(Fault.Kind kind, JsonNode value, JsonNode common, FaultPlan plan) {
    JsonNode limits = value.isObject() ? value : common;
    JsonNode amount = value.isObject() ? value.path("value") : value;
    String on = limits.path("on").asText("");
    if (amount.isNull() || (amount.isBoolean() && !amount.booleanValue())) {
      return () -> plan.clear(kind, on);
    }
    if (!amount.isMissingNode() && !amount.isNumber() && !amount.isBoolean()) {
      throw new IllegalArgumentException("the value of " + name(kind) + " is not a number or true");
    }
    double number = amount.isNumber() ? amount.doubleValue() : 0;
    JsonNode millis = limits.path("duration_ms");
    @Nullable Duration duration = millis.isNumber() ? Duration.ofMillis(millis.longValue()) : null;
    Fault fault = new Fault(kind, number, limits.path("count").asInt(0), duration, on);
    return () -> plan.set(fault);
  }

  private static Fault.Kind kind(String name) {
    for (Fault.Kind kind : Fault.Kind.values()) {
      if (name(kind).equals(name)) {
        return kind;
      }
    }
    throw new IllegalArgumentException(name + " is not a fault; see docs/stand-ins.md");
  }

  private static String name(Fault.Kind kind) {
    return kind.name().toLowerCase(Locale.ROOT);
  }

  /** Returns the faults in force, for {@code GET /faults}. */
  static Map<String, Object> write(FaultPlan plan) {
    return Map.of("faults", plan.faults().stream().map(FaultJson::write).toList());
  }

  private static Map<String, Object> write(Fault fault) {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("fault", name(fault.kind()));
    json.put("value", fault.value());
    json.put("count", fault.count());
    if (fault.duration() != null) {
      json.put("duration_ms", fault.duration().toMillis());
    }
    json.put("on", fault.on());
    return json;
  }
}
