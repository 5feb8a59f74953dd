package org.oriolewell.runtime.settings;

import java.util.Map;

/** The validated values of a program's settings. */
public final class Settings {
  private final Map<Setting<?>, Object> values;

  Settings(Map<Setting<?>, Object> values) {
    this.values = Map.copyOf(values);
  }

  /**
   * Returns the value of a setting.
   *
   * @throws IllegalArgumentException if the setting isn't part of the program's specification
   */
  @SuppressWarnings("unchecked")
  public <T> T value(Setting<T> setting) {
    Object value = values.get(setting);
    if (value == null) {
      throw new IllegalArgumentException("setting is not specified: " + setting.key());
    }
    return (T) value;
  }
}
