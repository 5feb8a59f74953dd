/**
 * Choice of an upstream for each call.
 *
 * <p>A process holds one {@link Router} for each pool. For a call it asks {@code choose}, logs the
 * {@link Choice}, and then calls {@code started} when it sends the call and {@code finished}
 * exactly once when the call ends; {@code reported} takes each load report that arrives. A retry or
 * hedge passes the upstreams already used in {@link RouteRequest#excluding}. {@code update} takes
 * the candidates of {@link org.oriolewell.core.membership.Membership} whenever they change; {@code
 * subset} then names the upstreams to keep connections to. Nothing here is thread-safe.
 */
@NullMarked
package org.oriolewell.core.routing;

import org.jspecify.annotations.NullMarked;
