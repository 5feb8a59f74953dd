package org.oriolewell.bench.calls;

/** A way to record the calls of one shard before they run. */
interface CallLog {
  /**
   * Takes a call.
   *
   * @param start runs the call as soon as the record permits it
   * @param refuse runs if the record refuses the call as not run
   */
  void call(Runnable start, Runnable refuse);
}
