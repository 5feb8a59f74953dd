package org.oriolewell.core.routing;

/** How a routed call ended, as far as it shows the state of its upstream. */
public enum CallResult {
  /** The upstream answered. */
  ANSWERED,
  /** The upstream failed, refused the connection or did not answer. */
  FAILED,
  /** The agent refused the call because its queue was long or the deadline too close. */
  REFUSED,
  /** The call was canceled; this shows nothing about the upstream. */
  CANCELED
}
