package org.oriolewell.core.route;

/** How often an upstream may run a request of a route, and how the request is answered. */
public enum RequestKind {
  /** The request may run more than once. */
  IDEMPOTENT,
  /** The request runs at most once for each time that a caller sends it. */
  NON_IDEMPOTENT,
  /** The answer is a stream of events; the request runs once unless the route is resumable. */
  STREAMING
}
