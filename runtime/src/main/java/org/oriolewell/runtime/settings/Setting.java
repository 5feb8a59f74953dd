package org.oriolewell.runtime.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * One setting: its dotted key, default, description and check.
 *
 * <p>Example: {@code Setting.integer("callers.port", 8080, 0, 65535, "TCP port for callers")}.
 *
 * @param key dotted TOML key, such as {@code callers.port}
 * @param fallback value used when the file doesn't set the key
 * @param accepted text that says which values are accepted
 * @param description one sentence for {@code --print-defaults}
 * @param parser turns a TOML value into a typed value, or throws {@link IllegalArgumentException}
 * @param <T> type of the value
 */
public record Setting<T>(
    String key, T fallback, String accepted, String description, Function<JsonNode, T> parser) {

  /** Returns a setting that holds any string. */
  public static Setting<String> string(String key, String fallback, String description) {
    return new Setting<>(key, fallback, "a string", description, Setting::text);
  }

  /** Returns a setting that holds one of the given strings. */
  public static Setting<String> choice(
      String key, String fallback, List<String> choices, String description) {
    return new Setting<>(
        key,
        fallback,
        "one of " + String.join(", ", choices),
        description,
        node -> {
          String value = text(node);
          if (!choices.contains(value)) {
            throw new IllegalArgumentException(value);
          }
          return value;
        });
  }

  /** Returns a setting that holds an integer between two inclusive bounds. */
  public static Setting<Integer> integer(
      String key, int fallback, int min, int max, String description) {
    return new Setting<>(
        key,
        fallback,
        "an integer from " + min + " to " + max,
        description,
        node -> {
          if (!node.canConvertToInt()
              || !node.isIntegralNumber()
              || node.intValue() < min
              || node.intValue() > max) {
            throw new IllegalArgumentException(node.toString());
          }
          return node.intValue();
        });
  }

  /** Returns a setting that holds a number between two inclusive bounds. */
  public static Setting<Double> number(
      String key, double fallback, double min, double max, String description) {
    return new Setting<>(
        key,
        fallback,
        "a number from " + min + " to " + max,
        description,
        node -> {
          if (!node.isNumber() || node.doubleValue() < min || node.doubleValue() > max) {
            throw new IllegalArgumentException(node.toString());
          }
          return node.doubleValue();
        });
  }

  /** Returns a setting that holds true or false. */
  public static Setting<Boolean> flag(String key, boolean fallback, String description) {
    return new Setting<>(
        key,
        fallback,
        "true or false",
        description,
        node -> {
          if (!node.isBoolean()) {
            throw new IllegalArgumentException(node.toString());
          }
          return node.booleanValue();
        });
  }

  /** Returns a setting that holds a duration, written in milliseconds. */
  public static Setting<Duration> millis(
      String key, Duration fallback, Duration min, Duration max, String description) {
    return new Setting<>(
        key,
        fallback,
        "milliseconds from " + min.toMillis() + " to " + max.toMillis(),
        description,
        node -> {
          if (!node.isIntegralNumber()
              || node.longValue() < min.toMillis()
              || node.longValue() > max.toMillis()) {
            throw new IllegalArgumentException(node.toString());
          }
          return Duration.ofMillis(node.longValue());
        });
  }

  /** Returns a setting that holds a list of strings. */
  public static Setting<List<String>> strings(
      String key, List<String> fallback, String description) {
    return new Setting<>(
        key,
        fallback,
        "a list of strings",
        description,
        node -> {
          if (!node.isArray()) {
            throw new IllegalArgumentException(node.toString());
          }
          List<String> values = new ArrayList<>();
          node.forEach(item -> values.add(text(item)));
          return List.copyOf(values);
        });
  }

  private static String text(JsonNode node) {
    if (!node.isTextual()) {
      throw new IllegalArgumentException(node.toString());
    }
    return node.textValue();
  }
}
