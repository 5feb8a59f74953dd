package org.oriolewell.agent;

import java.time.Duration;
import org.oriolewell.core.admission.Ending;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/** Decides when a call may be sent to the upstream. Used on the agent's loop only. */
interface Admission {
  /** A call that is offered to admission and is told the decision. */
  interface Ticket {
    /** Returns the dialer's CALL message. */
    Message.Call call();

    /** Called when the call may run; {@link Admission#finished} must follow once it has ended. */
    void admitted();

    /**
     * Called when the call is refused; it has not run.
     *
     * @param detail what happened, with the remedy
     * @param retryAfter time after which a retry may help; zero if unknown
     */
    void refused(RefusalKind kind, String detail, Duration retryAfter);
  }

  /** Offers a call, which is admitted or refused immediately or after a wait in the queue. */
  void offer(Ticket ticket);

  /** Removes a waiting call from the queue. */
  void withdraw(Ticket ticket);

  /**
   * Frees the slot of an admitted call.
   *
   * @param ending how the call ended; {@code CANCELED} if it was never sent to the upstream
   */
  void finished(Ticket ticket, Ending ending);

  /** Refuses waiting calls that can't finish in time; called about every 50 ms. */
  void tick();

  /**
   * Returns the load that is reported to dialers.
   *
   * @param draining whether the agent refuses new calls
   */
  Message.Load load(boolean draining);
}
