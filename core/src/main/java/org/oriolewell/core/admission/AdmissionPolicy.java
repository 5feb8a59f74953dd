package org.oriolewell.core.admission;

import java.util.List;

/**
 * Decides about the calls of one upstream. {@link Admission} is the policy in use; {@link
 * FifoAdmission} is a baseline. Times are nanoseconds of one monotonic clock. Not thread-safe.
 *
 * @param <T> type by which the agent identifies calls
 */
public interface AdmissionPolicy<T> {
  /** Takes a new call and returns what to do now, also with other calls. */
  List<Verdict<T>> offer(OfferedCall<T> work, long now);

  /** Records that a started call ended and returns what to do now. */
  List<Verdict<T>> finished(T call, Ending ending, long now);

  /** Forgets a waiting call; returns false, and does nothing, if the call is not waiting. */
  boolean canceled(T call);

  /** Applies the passage of time: refuses waiting calls that can't finish any more. */
  List<Verdict<T>> tick(long now);

  /** Returns the current load. */
  AdmissionLoad load();
}
