package org.oriolewell.core.drain;

/** Action that a {@link DrainMachine} returns for the agent to perform. */
public enum DrainAction {
  /** Refuse new calls and tell the connected processes. */
  REFUSE_CALLS,
  /** Accept new calls again. */
  ACCEPT_CALLS,
  /** Release all shards that the agent owns. */
  RELEASE_SHARDS,
  /** Exit the process: calls and shards are finished or their time limits have passed. */
  EXIT
}
