package org.oriolewell.core.admission;

import java.util.List;

/**
 * Decides which calls of one upstream start, wait or are refused. Agents use {@link Admission};
 * {@link FifoAdmission} is a baseline for comparisons. Times are nanoseconds of one monotonic
 * clock. Not thread-safe.
 *
 * @param <T> type by which the agent identifies calls
 */
public interface AdmissionPolicy<T> {
  /**
   * Queues a new call and returns the calls to start or refuse now; these may be others than the
   * new one.
   */
  List<Verdict<T>> offer(OfferedCall<T> offered, long now);

  /** Records that a started call ended and returns the calls to start or refuse now. */
  List<Verdict<T>> finished(T call, Ending ending, long now);

  /** Removes a call from the queue; returns false, and does nothing, if the call is not waiting. */
  boolean canceled(T call);

  /**
   * Refuses waiting calls that can't finish in their remaining time any more, and starts calls for
   * which a slot is free.
   */
  List<Verdict<T>> tick(long now);

  /** Returns the current load of the upstream and the queue. */
  AdmissionLoad load();
}
