package org.oriolewell.runtime.settings;

import java.util.List;

/** Reports all problems of a settings file at once. The operator must correct the file. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<String> problems;

  /** Creates an exception from a list with one complete sentence for each problem. */
  SettingsException(List<String> problems) {
    super(String.join(System.lineSeparator(), problems));
    this.problems = List.copyOf(problems);
  }

  /** Returns one sentence for each problem, with file, key, value and remedy. */
  public List<String> problems() {
    return problems;
  }
}
