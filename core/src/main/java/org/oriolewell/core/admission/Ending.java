package org.oriolewell.core.admission;

/** How a started call ended at the upstream. */
public enum Ending {
  /** The upstream answered; its time is a sample of the upstream's latency. */
  ANSWERED,
  /** The upstream failed; its time says nothing. */
  FAILED,
  /** The upstream did not answer in time, which counts as overload. */
  TIMED_OUT,
  /** The call was canceled. */
  CANCELED
}
