package org.oriolewell.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.oriolewell.core.membership.Member;
import org.oriolewell.core.routing.CallResult;
import org.oriolewell.core.routing.Choice;
import org.oriolewell.core.routing.RouteRequest;
import org.oriolewell.core.routing.Router;

/** The {@link Router} of one pool, for use by several threads. */
final class PoolRouter {
  private final Router router;
  private final InstantSource clock;
  private final Instant start;

  PoolRouter(Router router, InstantSource clock) {
    this.router = router;
    this.clock = clock;
    this.start = clock.instant();
  }

  private long now() {
    return Duration.between(start, clock.instant()).toNanos();
  }

  /** Takes the pool's members that may be used or dialed. */
  synchronized void update(Collection<Member> members) {
    router.update(members, now());
  }

  /** Returns the names of the upstreams to be connected to. */
  synchronized Set<String> subset() {
    return Set.copyOf(router.subset());
  }

  /**
   * Chooses an upstream.
   *
   * @param prefix hash of the prompt's prefix; 0 for a call without a prompt
   * @param bytes expected bytes of call and answer
   * @param avoid upstreams that failed this call, used only if there is no other
   */
  synchronized Choice choose(long prefix, int bytes, Set<String> avoid) {
    RouteRequest request = RouteRequest.generation(prefix, bytes).excluding(List.copyOf(avoid));
    Choice choice = router.choose(request, now());
    if (choice.reason() == Choice.Reason.NO_UPSTREAM && !avoid.isEmpty()) {
      return router.choose(request.excluding(List.of()), now());
    }
    return choice;
  }

  /** Notes that a call was sent. */
  synchronized void started(String upstream) {
    router.started(upstream);
  }

  /** Notes that a call ended; called once for each call that was sent. */
  synchronized void finished(String upstream, CallResult result, long latencyNanos) {
    router.finished(upstream, result, latencyNanos, now());
  }

  /** Notes the queue length that an agent reported. */
  synchronized void reported(String upstream, int queued) {
    router.reported(upstream, queued, now());
  }
}
