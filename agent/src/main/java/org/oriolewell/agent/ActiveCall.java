package org.oriolewell.agent;

/**
 * A call that was received from a dialer and has not been answered or refused yet. Used on the
 * agent's loop only.
 */
interface ActiveCall {
  /** Starts the call: offers it to admission and starts its deadline timer. */
  void start();

  /** Permits the call to send more TOKENS frames. */
  void addCredits(int frames);

  /** Called when the dialer permits the call to run. */
  void granted();

  /** Called when the dialer forbids the call to run. */
  void denied();

  /**
   * Cancels the call, as the dialer no longer wants the answer. A non-idempotent call that is at
   * the upstream still finishes there.
   */
  void cancel();
}
