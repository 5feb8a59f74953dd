package org.oriolewell.core.config;

import java.util.List;

/** Reports every problem of a change at once. The operator who gave the command must act. */
public final class RejectedChangeException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<String> problems;

  /** Creates an exception from finished sentences, one for each problem. */
  public RejectedChangeException(List<String> problems) {
    super(String.join(" ", problems));
    this.problems = List.copyOf(problems);
  }

  /** Returns the problems, each with its remedy. */
  public List<String> problems() {
    return problems;
  }
}
