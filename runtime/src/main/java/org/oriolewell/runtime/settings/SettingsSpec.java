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
 * The settings that a program accepts. A settings file is validated completely before the program
 * starts; unknown keys are errors.
 */
public final class SettingsSpec {
  private static final TomlMapper TOML = new TomlMapper();

  private final String programName;
  private final Map<String, Setting<?>> settingsByKey = new LinkedHashMap<>();

  private SettingsSpec(String programName, List<Setting<?>> settings) {
    this.programName = programName;
    for (Setting<?> setting : settings) {
      if (settingsByKey.put(setting.key(), setting) != null) {
        throw new IllegalArgumentException("duplicate setting " + setting.key());
      }
    }
  }

  /** Returns the specification of a program's settings, in the order in which they are printed. */
  public static SettingsSpec of(String programName, List<Setting<?>> settings) {
    return new SettingsSpec(programName, settings);
  }

  /** Returns settings that all have their defaults. */
  public Settings defaults() {
    Map<Setting<?>, Object> values = new HashMap<>();
    settingsByKey.values().forEach(setting -> values.put(setting, setting.defaultValue()));
    return new Settings(values);
  }

  /**
   * Reads and validates a TOML file.
   *
   * @throws SettingsException if the file can't be read or isn't valid; lists all problems
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
   * Parses and validates settings in TOML.
   *
   * @param fileName name of the file, used in error messages
   * @param text content of the file
   * @throws SettingsException if the text isn't valid; lists all problems
   */
  public Settings parse(String fileName, String text) throws SettingsException {
    JsonNode root;
    try {
      root = TOML.readTree(text);
    } catch (JsonProcessingException e) {
      throw new SettingsException(
          List.of(fileName + ": is not valid TOML: " + e.getOriginalMessage() + "."));
    }
    List<String> problems = new ArrayList<>();
    Map<Setting<?>, Object> values = new HashMap<>();
    Map<String, JsonNode> nodesByKey = new LinkedHashMap<>();
    collectByDottedKey("", root, nodesByKey);
    nodesByKey.keySet().stream()
        .filter(key -> !settingsByKey.containsKey(key))
        .forEach(key -> problems.add(unknownKeyMessage(fileName, key)));
    settingsByKey
        .values()
        .forEach(setting -> readSetting(fileName, setting, nodesByKey, values, problems));
    if (!problems.isEmpty()) {
      throw new SettingsException(problems);
    }
    return new Settings(values);
  }

  private String unknownKeyMessage(String fileName, String key) {
    return String.format(
        "%s: key '%s' is not a setting of %s; remove it, or see --print-defaults.",
        fileName, key, programName);
  }

  private static void readSetting(
      String fileName,
      Setting<?> setting,
      Map<String, JsonNode> nodesByKey,
      Map<Setting<?>, Object> values,
      List<String> problems) {
    JsonNode node = nodesByKey.get(setting.key());
    if (node == null) {
      values.put(setting, setting.defaultValue());
      return;
    }
    try {
      values.put(setting, setting.parser().apply(node));
    } catch (IllegalArgumentException e) {
      problems.add(
          String.format(
              "%s: key '%s' has the value %s; write %s.",
              fileName, setting.key(), node, setting.acceptedValues()));
    }
  }

  private void collectByDottedKey(
      String keyPrefix, JsonNode node, Map<String, JsonNode> nodesByKey) {
    if (!(node instanceof ObjectNode object) || settingsByKey.containsKey(keyPrefix)) {
      nodesByKey.put(keyPrefix, node);
      return;
    }
    object
        .properties()
        .forEach(
            entry ->
                collectByDottedKey(
                    keyPrefix.isEmpty() ? entry.getKey() : keyPrefix + "." + entry.getKey(),
                    entry.getValue(),
                    nodesByKey));
  }

  /** Returns a TOML file with all settings at their defaults, each preceded by its description. */
  public String printDefaults() {
    StringBuilder text = new StringBuilder();
    settingsByKey
        .values()
        .forEach(
            setting ->
                text.append("# ")
                    .append(setting.description())
                    .append(" Accepted: ")
                    .append(setting.acceptedValues())
                    .append(".\n")
                    .append(setting.key())
                    .append(" = ")
                    .append(tomlValue(setting.defaultValue()))
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
