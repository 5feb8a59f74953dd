/**
 * Which upstreams may be used, derived from the process's own connections.
 *
 * <p>A process holds one {@link Membership} for each pool. It calls {@code propose} with each
 * answer of the host list or settings, {@code connected}, {@code pingSent}, {@code frameReceived},
 * {@code disconnected} and {@code connectFailed} for its connections, and {@code tick} every 50 ms.
 * When one of these returns true, it passes {@code candidates()} to {@link
 * org.oriolewell.core.routing.Router#update}, connects to the members of {@code Router.subset()}
 * for which {@code mayDial} is true, and closes idle connections to others. Nothing here is
 * thread-safe.
 */
@NullMarked
package org.oriolewell.core.membership;

import org.jspecify.annotations.NullMarked;
