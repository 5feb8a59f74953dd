package org.oriolewell.core.drain;

/** What a {@link DrainMachine} asks its program to do. */
public enum DrainAction {
  /** Refuse new calls and announce so. */
  REFUSE_CALLS,
  /** Take calls again. */
  ACCEPT_CALLS,
  /** Release all shards. */
  RELEASE_SHARDS,
  /** End the process; the calls were finished or their time was up. */
  EXIT
}
