/**
 * Which upstreams may be used, judged from the process's own connections.
 *
 * <p>A program holds one {@link Membership} for each pool. It calls {@code propose} with each
 * answer of the host list or settings, {@code connected}, {@code pingSent}, {@code frameReceived},
 * {@code disconnected} and {@code connectFailed} from its connections, and {@code tick} every 50
 * ms. When one of these returns true, it passes {@code candidates()} to {@link
 * org.oriolewell.core.routing.Router#update}, dials the members of {@code Router.subset()} for
 * which {@code mayDial} is true, and closes idle connections to others. Nothing here is
 * thread-safe.
 */
@NullMarked
package org.oriolewell.core.membership;

import org.jspecify.annotations.NullMarked;
