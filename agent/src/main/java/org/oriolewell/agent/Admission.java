package org.oriolewell.agent;

import java.time.Duration;
import org.oriolewell.core.admission.Ending;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/** Decides when a call may go to the upstream. Used on the agent's loop only. */
interface Admission {
  /** A call that asks to run. */
  interface Ticket {
    /** Returns the wire message that asked for the call. */
    Message.Call call();

    /** Lets the call run; {@link Admission#finished} must follow. */
    void admitted();

    /** Refuses the call, which has not run. */
    void refused(RefusalKind kind, String detail, Duration retryAfter);
  }

  /** Takes a call; admits or refuses it now or later. */
  void offer(Ticket ticket);

  /** Forgets a call that still waits. */
  void withdraw(Ticket ticket);

  /**
   * Frees the place of an admitted call.
   *
   * @param ending how the call ended; {@code CANCELED} if it never was at the upstream
   */
  void finished(Ticket ticket, Ending ending);

  /** Called about every 50 ms so that waiting calls whose time runs out can be refused. */
  void tick();

  /** Returns the load to report to dialers. */
  Message.Load load(boolean draining);
}
