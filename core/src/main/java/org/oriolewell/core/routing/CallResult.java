package org.oriolewell.core.routing;

/** How a routed call ended, as far as it says something about its upstream. */
public enum CallResult {
  /** The upstream answered. */
  ANSWERED,
  /** The upstream failed, refused the connection or did not answer. */
  FAILED,
  /** The agent refused the call because of its load or the deadline. */
  REFUSED,
  /** The call was canceled; it says nothing about the upstream. */
  CANCELED
}
