package org.oriolewell.standins;

/** Reports that a queue is full; the work did not run. */
final class BusyException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  BusyException() {
    super("the queue is full; retry later");
  }
}
