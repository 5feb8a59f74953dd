package org.oriolewell.core.result;

import java.util.Locale;

/** What is known about whether a request or call ran. */
public enum Outcome {
  /** The request or call ran and its answer is known. */
  ANSWERED,
  /** The request or call did not run and never will. */
  NOT_RUN,
  /** It isn't known whether the request or call ran. */
  UNKNOWN;

  /** Returns the name used in the callers' API, such as {@code not_run}. */
  public String apiName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
