package org.oriolewell.core.route;

import java.time.Duration;

/**
 * How a service's upstreams behave after a start during traffic.
 *
 * @param duration time for which an upstream is cold
 * @param perSecond requests a second that a cold upstream takes from all gateways together
 */
public record ColdStart(Duration duration, double perSecond) {
  /** Upstreams that are never cold. */
  public static final ColdStart NEVER = new ColdStart(Duration.ZERO, 0);

  /** Returns whether upstreams of the service can be cold. */
  public boolean possible() {
    return !duration.isZero() && perSecond > 0;
  }
}
