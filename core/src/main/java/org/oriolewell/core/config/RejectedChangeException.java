package org.oriolewell.core.config;

import java.util.List;

/** Thrown with all problems of an invalid change; the operator must correct the command. */
public final class RejectedChangeException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<String> problems;

  /** Creates an exception from complete sentences, one for each problem of the change. */
  public RejectedChangeException(List<String> problems) {
    super(String.join(" ", problems));
    this.problems = List.copyOf(problems);
  }

  /** Returns the problems of the change, each with its remedy. */
  public List<String> problems() {
    return problems;
  }
}
