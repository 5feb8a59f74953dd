package org.oriolewell.gateway;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.routing.Hashing;
import org.oriolewell.gateway.ControlFeed.FeedException;
import org.oriolewell.gateway.ControlFeed.Peer;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/** Keeps the entry of this gateway in the store. Used on the event loop only. */
final class SelfRegistration {
  /** Lease of the entry; peers try to connect to a dead gateway for at most this time. */
  static final Duration LEASE_DURATION = Duration.ofSeconds(10);

  /** Interval of lease renewals; two may fail before the lease expires. */
  private static final Duration LEASE_RENEW_INTERVAL = Duration.ofSeconds(3);

  /** Pause after a failed call. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(800);

  /**
   * Time over which the gateways spread their calls after the store was restored: each that has to
   * register makes two of the writes that all share.
   */
  private static final int RESTORED_SPREAD_MILLIS = 1000;

  private final EventLoop loop;
  private final ControlFeed feed;
  private final Peer self;
  private final EventLog log;
  private long leaseId;

  /** Lease held before the store was restored; it may belong to another owner since. */
  private long formerLeaseId;

  /** Raised to let pending calls and timers end without effect. */
  private int generation;

  private boolean ended;

  SelfRegistration(EventLoop loop, ControlFeed feed, Peer self, EventLog log) {
    this.loop = loop;
    this.feed = feed;
    this.self = self;
    this.log = log;
  }

  /** Registers this gateway. */
  void start() {
    register(generation);
  }

  /** Removes this gateway from the list of gateways. */
  void end() {
    ended = true;
    if (leaseId != 0) {
      feed.endLease(leaseId);
    }
  }

  /** Uses the lease no longer until {@link #entryRead} says whether it still is this gateway's. */
  void storeRestored() {
    generation++;
    formerLeaseId = leaseId == 0 ? formerLeaseId : leaseId;
    leaseId = 0;
  }

  /**
   * Goes on after the entries of a restored store were read.
   *
   * @param entryLeaseId lease of this gateway's entry; 0 if the entry is missing
   */
  void entryRead(long entryLeaseId) {
    int current = ++generation;
    int spreadMillis = Math.floorMod(Hashing.of(self.name()), RESTORED_SPREAD_MILLIS);
    boolean leaseKept = entryLeaseId != 0 && entryLeaseId == formerLeaseId;
    leaseId = leaseKept ? entryLeaseId : 0;
    loop.after(
        Duration.ofMillis(spreadMillis),
        () -> {
          if (leaseKept) {
            renew(current);
          } else {
            register(current);
          }
        });
  }

  private void register(int current) {
    if (ended || current != generation) {
      return;
    }
    feed.register(self, LEASE_DURATION)
        .whenComplete(
            (grantedLeaseId, failure) ->
                loop.execute(
                    () -> registered(current, failure == null ? grantedLeaseId : 0, failure)));
  }

  private void registered(int current, long grantedLeaseId, @Nullable Throwable failure) {
    if (current != generation) {
      return;
    }
    if (failure != null) {
      log.event(GatewayEvent.REGISTRATION_FAILED).cause(failure).write();
      loop.after(RETRY_DELAY, () -> register(current));
    } else {
      leaseId = grantedLeaseId;
      log.event(GatewayEvent.REGISTERED).with("lease", grantedLeaseId).write();
      loop.after(LEASE_RENEW_INTERVAL, () -> renew(current));
    }
  }

  private void renew(int current) {
    if (ended || current != generation) {
      return;
    }
    feed.renewLease(leaseId)
        .whenComplete((done, failure) -> loop.execute(() -> renewed(current, failure)));
  }

  private void renewed(int current, @Nullable Throwable failure) {
    if (current != generation) {
      return;
    }
    if (failure != null && FeedException.reasonOf(failure) == FeedException.Reason.LEASE_ENDED) {
      register(current);
    } else {
      loop.after(failure == null ? LEASE_RENEW_INTERVAL : RETRY_DELAY, () -> renew(current));
    }
  }
}
