package org.oriolewell.core.route;

/** How often a request of a route may run. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once for each attempt of a caller. */
  NON_IDEMPOTENT,
  /** Answered by a series of events; runs at most once unless the route is resumable. */
  STREAMING
}
