package org.oriolewell.entry;

import org.oriolewell.core.result.Failure;
import org.oriolewell.core.result.ProblemKind;

/**
 * Thrown to refuse a request, usually before any of its stages ran; carries the reply's failure.
 */
final class ProblemException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Failure failure;

  ProblemException(Failure failure) {
    super(failure.detail());
    this.failure = failure;
  }

  /** Returns the exception that refuses a request whose outcome is {@code not_run}. */
  static ProblemException of(ProblemKind kind, String detail) {
    return new ProblemException(Failure.notRun(kind, detail));
  }

  Failure failure() {
    return failure;
  }
}
