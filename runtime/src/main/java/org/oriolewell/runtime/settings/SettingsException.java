package org.oriolewell.runtime.settings;

import java.util.List;

/** Reports every problem of a settings file at once. The operator who wrote the file must act. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<String> problems;

  /** Creates an exception from finished sentences, one for each problem. */
  SettingsException(List<String> problems) {
    super(String.join(System.lineSeparator(), problems));
    this.problems = List.copyOf(problems);
  }

  /** Returns the problems, each naming file, key, value and remedy. */
  public List<String> problems() {
    return problems;
  }
}
