package org.oriolewell.core.membership;

/** What a process knows about an upstream from its own connection to it. */
public enum MemberState {
  /** Named by the host list or settings; there is no connection yet. */
  PROPOSED,
  /** Connected and answering. */
  UP,
  /** Connected, but a heartbeat has been unanswered for longer than usual. */
  SUSPECT,
  /** The connection failed, was closed or is silent. */
  DEAD,
  /** Takes no new work: it is draining or the host list says that it leaves. */
  LEAVING
}
