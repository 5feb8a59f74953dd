package org.oriolewell.runtime.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings that a program accepts. Reading a file checks all of them before anything starts,
 * and unknown keys are errors.
 */
public final class SettingsSpec {
  private static final TomlMapper TOML = new TomlMapper();

  private final String program;
  private final Map<String, Setting<?>> byKey = new LinkedHashMap<>();

  private SettingsSpec(String program, List<Setting<?>> settings) {
    this.program = program;
    for (Setting<?> setting : settings) {
      if (byKey.put(setting.key(), setting) != null) {
        throw new IllegalArgumentException("duplicate setting " + setting.key());
      }
    }
  }

  /** Returns the specification of a program's settings, in the order they are printed. */
  public static SettingsSpec of(String program, List<Setting<?>> settings) {
    return new SettingsSpec(program, settings);
  }

  /** Returns the defaults only. */
  public Settings defaults() {
    Map<Setting<?>, Object> values = new HashMap<>();
    byKey.values().forEach(setting -> values.put(setting, setting.fallback()));
    return new Settings(values);
  }

  /**
   * Reads and checks a TOML file.
   *
   * @throws SettingsException if the file can't be read or any value is wrong; names all problems
   */
  public Settings load(Path file) throws SettingsException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new SettingsException(
          List.of(file + ": cannot be read (" + e + "); name a readable TOML file."));
    }
    return parse(file.toString(), text);
  }

  /**
   * Checks TOML text.
   *
   * @param name file name used in messages
   * @throws SettingsException if any value is wrong; names all problems
   */
  public Settings parse(String name, String text) throws SettingsException {
    JsonNode root;
    try {
      root = TOML.readTree(text);
    } catch (JsonProcessingException e) {
      throw new SettingsException(
          List.of(name + ": is not valid TOML: " + e.getOriginalMessage() + "."));
    }
    List<String> problems = new ArrayList<>();
    Map<Setting<?>, Object> values = new HashMap<>();
    Map<String, JsonNode> found = new LinkedHashMap<>();
    flatten("", root, found);
    found.keySet().stream()
        .filter(key -> !byKey.containsKey(key))
        .forEach(key -> problems.add(unknownKey(name, key)));
    byKey.values().forEach(setting -> read(name, setting, found, values, problems));
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
    return new Settings(values);
  }

  private String unknownKey(String name, String key) {
    return String.format(
        "%s: key '%s' is not a setting of %s; remove it, or see --print-defaults.",
        name, key, program);
  }

  private static void read(
      String name,
      Setting<?> setting,
      Map<String, JsonNode> found,
      Map<Setting<?>, Object> values,
      List<String> problems) {
    JsonNode node = found.get(setting.key());
    if (node == null) {
      values.put(setting, setting.fallback());
      return;
    }
    try {
      values.put(setting, setting.parser().apply(node));
    } catch (IllegalArgumentException e) {
      problems.add(
          String.format(
              "%s: key '%s' has the value %s; write %s.",
              name, setting.key(), node, setting.accepted()));
    }
  }

  private void flatten(String prefix, JsonNode node, Map<String, JsonNode> found) {
    if (!(node instanceof ObjectNode object) || byKey.containsKey(prefix)) {
      found.put(prefix, node);
      return;
    }
    object
        .properties()
        .forEach(
            entry ->
                flatten(
                    prefix.isEmpty() ? entry.getKey() : prefix + "." + entry.getKey(),
                    entry.getValue(),
                    found));
  }

  /** Returns a TOML text with every setting at its default, each with its description. */
  public String printDefaults() {
    StringBuilder text = new StringBuilder();
    byKey
        .values()
        .forEach(
            setting ->
                text.append("# ")
                    .append(setting.description())
                    .append(" Accepted: ")
                    .append(setting.accepted())
                    .append(".\n")
                    .append(setting.key())
                    .append(" = ")
                    .append(tomlValue(setting.fallback()))
                    .append("\n\n"));
    return text.toString();
  }

  private static String tomlValue(Object value) {
    if (value instanceof Duration duration) {
      return Long.toString(duration.toMillis());
    }
    if (value instanceof List<?> list) {
      return "[" + String.join(", ", list.stream().map(SettingsSpec::tomlValue).toList()) + "]";
    }
    if (value instanceof String string) {
      return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
    return value.toString();
  }
}
