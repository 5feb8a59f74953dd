package org.oriolewell.core.admission;

/** Number of calls that may be at the upstream at once. Not thread-safe. */
public interface ConcurrencyLimit {
  /** Returns a limit that does not change. */
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

  /** Returns the current limit, at least 1. */
  int limit();

  /**
   * Records an answered call.
   *
   * @param operation operation
   * @param latencyNanos time at the upstream, in nanoseconds
   * @param inFlight calls at the upstream when it ended, itself included
   */
  void completed(String operation, long latencyNanos, int inFlight);

  /** Records a call that the upstream did not answer in time. */
  void timedOut();
}
