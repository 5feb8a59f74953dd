package org.oriolewell.runtime.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Definition of one setting: its dotted key, default, description and validation.
 *
 * <p>Example: {@code Setting.integer("callers.port", 8080, 0, 65535, "TCP port for callers")}.
 *
 * @param key dotted TOML key, such as {@code callers.port}
 * @param defaultValue default, used if the file doesn't set the key
 * @param acceptedValues description of the accepted values, for error messages and {@code
 *     --print-defaults}
 * @param description one sentence for {@code --print-defaults}
 * @param parser converts a TOML value to the setting's type; throws {@link
 *     IllegalArgumentException} if the value isn't accepted
 * @param <T> type of the setting's value
 */
public record Setting<T>(
    String key,
    T defaultValue,
    String acceptedValues,
    String description,
    Function<JsonNode, T> parser) {

  /** Returns a setting whose value is any string. */
  public static Setting<String> string(String key, String defaultValue, String description) {
    return new Setting<>(key, defaultValue, "a string", description, Setting::textOf);
  }

  /** Returns a setting whose value is one of the given strings. */
  public static Setting<String> choice(
      String key, String defaultValue, List<String> choices, String description) {
    return new Setting<>(
        key,
        defaultValue,
        "one of " + String.join(", ", choices),
        description,
        tomlValue -> {
          String value = textOf(tomlValue);
          if (!choices.contains(value)) {
            throw new IllegalArgumentException(value);
          }
          return value;
        });
  }

  /** Returns a setting whose value is an integer between two inclusive bounds. */
  public static Setting<Integer> integer(
      String key, int defaultValue, int min, int max, String description) {
    return new Setting<>(
        key,
        defaultValue,
        "an integer from " + min + " to " + max,
        description,
        tomlValue -> {
          if (!tomlValue.canConvertToInt()
              || !tomlValue.isIntegralNumber()
              || tomlValue.intValue() < min
              || tomlValue.intValue() > max) {
            throw new IllegalArgumentException(tomlValue.toString());
          }
          return tomlValue.intValue();
        });
  }

  /** Returns a setting whose value is a number between two inclusive bounds. */
  public static Setting<Double> number(
      String key, double defaultValue, double min, double max, String description) {
    return new Setting<>(
        key,
        defaultValue,
        "a number from " + min + " to " + max,
        description,
        tomlValue -> {
          if (!tomlValue.isNumber()
              || tomlValue.doubleValue() < min
              || tomlValue.doubleValue() > max) {
            throw new IllegalArgumentException(tomlValue.toString());
          }
          return tomlValue.doubleValue();
        });
  }

  /** Returns a setting whose value is true or false. */
  public static Setting<Boolean> flag(String key, boolean defaultValue, String description) {
    return new Setting<>(
        key,
        defaultValue,
        "true or false",
        description,
        tomlValue -> {
          if (!tomlValue.isBoolean()) {
            throw new IllegalArgumentException(tomlValue.toString());
          }
          return tomlValue.booleanValue();
        });
  }

  /** Returns a setting whose value is a duration, which the file gives in whole milliseconds. */
  public static Setting<Duration> millis(
      String key, Duration defaultValue, Duration min, Duration max, String description) {
    return new Setting<>(
        key,
        defaultValue,
        "milliseconds from " + min.toMillis() + " to " + max.toMillis(),
        description,
        tomlValue -> {
          if (!tomlValue.isIntegralNumber()
              || tomlValue.longValue() < min.toMillis()
              || tomlValue.longValue() > max.toMillis()) {
            throw new IllegalArgumentException(tomlValue.toString());
          }
          return Duration.ofMillis(tomlValue.longValue());
        });
  }

  /** Returns a setting whose value is a list of strings. */
  public static Setting<List<String>> strings(
      String key, List<String> defaultValue, String description) {
    return new Setting<>(
        key,
        defaultValue,
        "a list of strings",
        description,
        tomlValue -> {
          if (!tomlValue.isArray()) {
            throw new IllegalArgumentException(tomlValue.toString());
          }
          List<String> values = new ArrayList<>();
          tomlValue.forEach(tomlItem -> values.add(textOf(tomlItem)));
          return List.copyOf(values);
        });
  }

  private static String textOf(JsonNode tomlValue) {
    if (!tomlValue.isTextual()) {
      throw new IllegalArgumentException(tomlValue.toString());
    }
    return tomlValue.textValue();
  }
}
