package org.oriolewell.agent;

/** A call between its arrival and its last message. Used on the agent's loop only. */
interface ActiveCall {
  /** Begins the call. */
  void start();

  /** Lets the call send more TOKENS frames. */
  void credit(int frames);

  /** Takes the dialer's permission to run. */
  void granted();

  /** Takes the dialer's refusal to let the call run. */
  void denied();

  /** Ends the call as far as allowed; the dialer no longer wants the answer. */
  void cancel();
}
