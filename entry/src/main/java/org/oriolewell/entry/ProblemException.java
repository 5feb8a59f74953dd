package org.oriolewell.entry;

import org.oriolewell.core.result.Failure;
import org.oriolewell.core.result.ProblemKind;

/** Refuses a request before any of its stages ran. */
final class ProblemException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Failure failure;

  ProblemException(Failure failure) {
    super(failure.detail());
    this.failure = failure;
  }

  /** Returns the refusal of a request that did not run. */
  static ProblemException of(ProblemKind kind, String detail) {
    return new ProblemException(Failure.notRun(kind, detail));
  }

  Failure failure() {
    return failure;
  }
}
