package org.oriolewell.core.admission;

/** How a started call ended at the upstream. */
public enum Ending {
  /** The upstream answered; the call's duration is a sample of the upstream's latency. */
  ANSWERED,
  /** The upstream failed; the call's duration is not a latency sample. */
  FAILED,
  /** The upstream did not answer in time, which counts as overload. */
  TIMED_OUT,
  /** The call was canceled while the upstream processed it. */
  CANCELED
}
