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

/** Thread-safe wrapper of the {@link Router} of one pool. */
final class PoolRouter {
  private final Router router;
  private final InstantSource clock;
  private final Instant startedAt;

  PoolRouter(Router router, InstantSource clock) {
    this.router = router;
    this.clock = clock;
    this.startedAt = clock.instant();
  }

  private long nowNanos() {
    return Duration.between(startedAt, clock.instant()).toNanos();
  }

  /** Replaces the pool's members that may be used or connected to. */
  synchronized void update(Collection<Member> members) {
    router.update(members, nowNanos());
  }

  /** Returns the names of the upstreams that this entry should be connected to. */
  synchronized Set<String> subset() {
    return Set.copyOf(router.subset());
  }

  /**
   * Chooses the upstream for a call.
   *
   * @param promptPrefix hash of the prompt's prefix; 0 for a call without a prompt
   * @param expectedBytes expected size of the call and its answer in bytes
   * @param avoid names of upstreams at which an attempt of this call failed, chosen only if there
   *     is no other
   */
  synchronized Choice choose(long promptPrefix, int expectedBytes, Set<String> avoid) {
    RouteRequest request =
        RouteRequest.generation(promptPrefix, expectedBytes).excluding(List.copyOf(avoid));
    Choice choice = router.choose(request, nowNanos());
    if (choice.reason() == Choice.Reason.NO_UPSTREAM && !avoid.isEmpty()) {
      return router.choose(request.excluding(List.of()), nowNanos());
    }
    return choice;
  }

  /** Records that a call was sent to an upstream. */
  synchronized void started(String upstream) {
    router.started(upstream);
  }

  /** Records how a call ended and its latency; called once for each call that was sent. */
  synchronized void finished(String upstream, CallResult result, long latencyNanos) {
    router.finished(upstream, result, latencyNanos, nowNanos());
  }

  /** Records the number of queued calls that an upstream's agent reported. */
  synchronized void reported(String upstream, int queueLength) {
    router.reported(upstream, queueLength, nowNanos());
  }
}
