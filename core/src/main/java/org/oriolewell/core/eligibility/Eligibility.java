package org.oriolewell.core.eligibility;

import java.time.Duration;

/** Verdict whether a call may be sent to an upstream. */
public sealed interface Eligibility {
  /** The call may be sent. */
  Eligibility ALLOWED = new Allowed();

  /** The call may be sent. */
  record Allowed() implements Eligibility {}

  /**
   * The call may be sent with a permit of the gateway that issues them for the upstream.
   *
   * @param perSecond rate of all gateways' calls to the upstream, in calls a second
   */
  record PermitNeeded(double perSecond) implements Eligibility {}

  /**
   * The call must not be sent.
   *
   * @param retryAfter time after which the verdict may change; zero if that isn't known
   */
  record Blocked(Reason reason, Duration retryAfter) implements Eligibility {}

  /** Returns the stricter one of this verdict and another one; this one if they are equal. */
  default Eligibility stricter(Eligibility other) {
    if (this instanceof PermitNeeded needed && other instanceof PermitNeeded otherNeeded) {
      return otherNeeded.perSecond() < needed.perSecond() ? other : this;
    }
    if (this instanceof Blocked blocked && other instanceof Blocked otherBlocked) {
      boolean otherLonger =
          otherBlocked.retryAfter().isZero()
              || otherBlocked.retryAfter().compareTo(blocked.retryAfter()) > 0;
      return !blocked.retryAfter().isZero() && otherLonger ? other : this;
    }
    return other.strictness() > strictness() ? other : this;
  }

  private int strictness() {
    return this instanceof Blocked ? 2 : this instanceof PermitNeeded ? 1 : 0;
  }
}
