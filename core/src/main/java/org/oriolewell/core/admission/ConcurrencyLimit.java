package org.oriolewell.core.admission;

/** Limit of the number of calls that are at an upstream at once. Not thread-safe. */
public interface ConcurrencyLimit {
  /** Returns a limit that never changes. */
  static ConcurrencyLimit fixed(int limit) {
    return new ConcurrencyLimit() {
      @Override
      public int limit() {
        return limit;
      }

      @Override
      public void completed(String operation, long latencyNanos, int inFlight) {}

      @Override
      public void timedOut() {}
    };
  }

  /** Returns the largest number of calls that may be at the upstream now, at least 1. */
  int limit();

  /**
   * Records a call that the upstream answered.
   *
   * @param operation name of the call's operation
   * @param latencyNanos time at the upstream, in nanoseconds
   * @param inFlight calls at the upstream when it ended, itself included
   */
  void completed(String operation, long latencyNanos, int inFlight);

  /** Records a call that the upstream did not answer in time. */
  void timedOut();
}
