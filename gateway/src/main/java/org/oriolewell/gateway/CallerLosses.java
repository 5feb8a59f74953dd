package org.oriolewell.gateway;

/** Counts requests and connections of callers that a gateway gives up. */
@FunctionalInterface
interface CallerLosses {
  /**
   * Called for each refused request and each connection that was closed.
   *
   * @param reason reason, one of few
   * @param workspace workspace of the caller; empty if it is not known
   */
  void lost(String reason, String workspace);
}
