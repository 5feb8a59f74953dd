package org.oriolewell.core.membership;

/** State of an upstream as a process derives it from its own connection to it. */
public enum MemberState {
  /** Named by the host list or the settings; not connected yet. */
  PROPOSED,
  /** Connected, and heartbeats are answered in time. */
  UP,
  /** Connected, but a heartbeat has been unanswered for longer than usual. */
  SUSPECT,
  /** The connection failed or was closed, or heartbeats stay unanswered for too long. */
  DEAD,
  /** The upstream takes no new calls: it is draining, or the host list says that it leaves. */
  LEAVING
}
