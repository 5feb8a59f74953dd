package org.oriolewell.gateway;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.roster.UpstreamRoster;
import org.oriolewell.core.roster.ViewFreshness;
import org.oriolewell.core.route.RouteTable;
import org.oriolewell.gateway.ControlFeed.Batch;
import org.oriolewell.gateway.ControlFeed.FeedException;
import org.oriolewell.gateway.ControlFeed.Peer;
import org.oriolewell.gateway.ControlFeed.Update;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Keeps this node's copy of the configuration, of the upstreams and of the other gateways, and its
 * entry among them. Used on the event loop only.
 */
final class ControlPlane {
  /**
   * Longest wait of a call for changes. Each answer proves the copy's freshness; a call that fails
   * takes 1 s more and is followed by short ones, so that one may fail within the usual revocation
   * bound of 5 s, and nearly two.
   */
  private static final Duration WAIT = Duration.ofMillis(2000);

  /** Wait of a call that follows a failed one: it has to prove soon that the copy is fresh. */
  private static final Duration WAIT_AFTER_FAILURE = Duration.ofMillis(100);

  /**
   * Pause after an answer with changes, in which further ones gather: calls to the store are paid
   * for, and many upstreams and gateways change at once. Changes are due within 2.5 s.
   */
  private static final Duration GATHERING = Duration.ofMillis(200);

  /** Pause after a failed call; doubles with each further one, so that a store is not flooded. */
  private static final Duration FIRST_RETRY = Duration.ofMillis(100);

  /** Longest such pause: a store that is back is noticed within a second. */
  private static final Duration MAX_RETRY = Duration.ofMillis(800);

  /** Interval of the check of the clocks; a suspension is noticed within it without a request. */
  private static final Duration TICK = Duration.ofMillis(250);

  /** Part of the revocation bound that is left for a request's way to its upstream. */
  private static final Duration REVOCATION_MARGIN = Duration.ofMillis(600);

  /** Lifetime of this node's entry; a dead node is dialed in vain for at most this time. */
  private static final Duration ENTRY_LIFETIME = Duration.ofSeconds(10);

  /** Interval of renewals; two may fail within the lifetime. */
  private static final Duration RENEW_INTERVAL = Duration.ofSeconds(3);

  private final EventLoop loop;
  private final ControlFeed feed;
  private final EventLog log;
  private final InstantSource clock;
  private final Peer self;
  private final UpstreamRoster roster;
  private final ViewFreshness freshness;
  private final Map<String, Peer> peers = new HashMap<>();
  private final List<Runnable> listeners = new ArrayList<>();
  private @Nullable RouteTable table;
  private boolean storeLost;
  private Duration retry = FIRST_RETRY;
  private long lease;

  /** Revision up to which the copy holds; 0 before anything was read. */
  private long revision;

  private boolean confirming;
  private boolean leaving;

  private ControlPlane(
      EventLoop loop,
      ControlFeed feed,
      Peer self,
      Duration revocation,
      Duration lapseGrace,
      InstantSource clock,
      EventLog log) {
    this.loop = loop;
    this.feed = feed;
    this.self = self;
    this.clock = clock;
    this.log = log;
    this.roster = UpstreamRoster.create(lapseGrace);
    this.freshness = ViewFreshness.create(revocation.minus(REVOCATION_MARGIN));
  }

  /**
   * Returns a control plane that has not begun to read.
   *
   * @param revocation time after which a key that was taken away must be refused
   * @param lapseGrace time after the store's return within which lapsed entries come back
   */
  static ControlPlane create(
      EventLoop loop,
      ControlFeed feed,
      Peer self,
      Duration revocation,
      Duration lapseGrace,
      InstantSource clock,
      EventLog log) {
    return new ControlPlane(loop, feed, self, revocation, lapseGrace, clock, log);
  }

  /** Begins to read and lists this node. */
  void start() {
    loop.every(TICK, this::tick);
    readAll();
    register();
  }

  /** Sets a task that runs after each change. */
  void onChange(Runnable task) {
    listeners.add(task);
  }

  /** Returns the configuration in force, or null if none is known yet. */
  @Nullable RouteTable table() {
    return table;
  }

  /** Returns the upstreams. */
  UpstreamRoster roster() {
    return roster;
  }

  /** Returns the other gateways. */
  Collection<Peer> peers() {
    return peers.values();
  }

  /** Returns this node. */
  Peer self() {
    return self;
  }

  /** Returns whether the copy of the keys may be used. */
  boolean fresh() {
    observeClocks();
    return freshness.fresh(loop.now());
  }

  /** Returns the age of the copy in milliseconds, or -1 if nothing is confirmed. */
  long ageMillis() {
    return freshness.ageMillis(loop.now());
  }

  private void observeClocks() {
    if (freshness.observeClocks(loop.now(), clock.millis())) {
      log.event(GatewayEvent.CLOCK_JUMPED).write();
      confirmNow();
    }
  }

  /**
   * Asks the store whether the copy is still right, until it is fresh again. The call for changes
   * that is under way was sent before the clocks jumped and proves nothing. Changes are left to
   * that call, which gets them too.
   */
  private void confirmNow() {
    if (!confirming && revision != 0) {
      confirming = true;
      askWhetherCurrent();
    }
  }

  private void askWhetherCurrent() {
    long sentAt = loop.now();
    feed.changes(revision, WAIT_AFTER_FAILURE)
        .whenComplete(
            (batch, failure) ->
                loop.execute(
                    () -> {
                      if (failure == null && batch.updates().isEmpty()) {
                        freshness.confirm(sentAt, sentAt);
                      }
                      confirming = !freshness.fresh(loop.now());
                      if (confirming) {
                        Duration pause = failure == null ? GATHERING : MAX_RETRY;
                        loop.after(pause, this::askWhetherCurrent);
                      }
                    }));
  }

  private void tick() {
    observeClocks();
    List<UpstreamInstance> expired = roster.expireLapsed(loop.now());
    expired.forEach(
        upstream ->
            log.event(GatewayEvent.UPSTREAM_UNLISTED)
                .with("upstream", upstream.id())
                .with("reason", "not listed again after the store's return")
                .write());
    if (!expired.isEmpty()) {
      changed();
    }
  }

  private void readAll() {
    long sentAt = loop.now();
    feed.snapshot()
        .whenComplete(
            (batch, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null) {
                        lost(failure);
                        loop.after(nextRetry(), this::readAll);
                      } else {
                        regained();
                        replaceAll(batch);
                        freshness.confirm(sentAt, sentAt);
                        changed();
                        watch(batch.revision(), WAIT);
                      }
                    }));
  }

  private void watch(long after, Duration wait) {
    long sentAt = loop.now();
    revision = after;
    feed.changes(after, wait)
        .whenComplete(
            (batch, failure) ->
                loop.execute(
                    () -> {
                      if (failure == null) {
                        changesRead(batch, sentAt, wait);
                      } else if (reason(failure) == FeedException.Reason.HISTORY_LOST) {
                        log.event(GatewayEvent.HISTORY_LOST).with("revision", after).write();
                        readAll();
                      } else {
                        lost(failure);
                        loop.after(nextRetry(), () -> watch(after, WAIT_AFTER_FAILURE));
                      }
                    }));
  }

  private void changesRead(Batch batch, long sentAt, Duration wait) {
    regained();
    observeClocks();
    // An empty answer was given after the whole wait; any other may be as old as the call.
    boolean waited = batch.updates().isEmpty() && loop.now() - sentAt >= wait.toNanos();
    batch.updates().forEach(this::apply);
    freshness.confirm(sentAt, waited ? sentAt + wait.toNanos() : sentAt);
    revision = batch.revision();
    if (batch.updates().isEmpty()) {
      watch(batch.revision(), WAIT);
    } else {
      changed();
      loop.after(GATHERING, () -> watch(batch.revision(), WAIT));
    }
  }

  private void replaceAll(Batch batch) {
    List<UpstreamInstance> upstreams = new ArrayList<>();
    Set<String> present = new HashSet<>();
    for (Update update : batch.updates()) {
      if (update instanceof Update.UpstreamListed listed) {
        upstreams.add(listed.upstream());
      } else {
        if (update instanceof Update.PeerListed listed) {
          present.add(listed.peer().name());
        }
        apply(update);
      }
    }
    roster.replaceAll(upstreams, loop.now());
    peers.keySet().retainAll(present);
  }

  private void apply(Update update) {
    if (update instanceof Update.Configured configured) {
      configured(configured.table());
    } else if (update instanceof Update.UpstreamListed listed) {
      listed(listed.upstream());
    } else if (update instanceof Update.UpstreamUnlisted unlisted) {
      roster.removed(unlisted.id(), loop.now());
      log.event(GatewayEvent.UPSTREAM_UNLISTED).with("upstream", unlisted.id()).write();
    } else if (update instanceof Update.PeerListed listed) {
      if (!listed.peer().name().equals(self.name())) {
        peers.put(listed.peer().name(), listed.peer());
      }
    } else if (update instanceof Update.PeerUnlisted unlisted) {
      peers.remove(unlisted.name());
    } else if (update instanceof Update.Unreadable unreadable) {
      log.event(GatewayEvent.ENTRY_UNREADABLE)
          .with("key", unreadable.key())
          .with("problem", unreadable.problem())
          .write();
    }
  }

  private void listed(UpstreamInstance upstream) {
    boolean known = roster.find(upstream.id()).filter(upstream::equals).isPresent();
    roster.announced(upstream);
    if (!known) {
      log.event(GatewayEvent.UPSTREAM_LISTED)
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("address", upstream.address())
          .with("zone", upstream.zone())
          .with("draining", upstream.draining())
          .write();
    }
  }

  private void configured(RouteTable newTable) {
    RouteTable old = table;
    if (old != null && newTable.version() < old.version()) {
      log.event(GatewayEvent.CONFIG_OUTDATED)
          .with("version", newTable.version())
          .with("in_force", old.version())
          .write();
      return;
    }
    if (old == null || newTable.version() > old.version()) {
      log.event(GatewayEvent.CONFIG_APPLIED).with("version", newTable.version()).write();
    }
    table = newTable;
  }

  private void changed() {
    listeners.forEach(Runnable::run);
  }

  private void lost(Throwable failure) {
    roster.storeLost();
    if (!storeLost) {
      storeLost = true;
      log.event(GatewayEvent.STORE_LOST).cause(failure).write();
    }
  }

  private void regained() {
    retry = FIRST_RETRY;
    roster.storeRegained(loop.now());
    if (storeLost) {
      storeLost = false;
      log.event(GatewayEvent.STORE_REGAINED).write();
    }
  }

  private Duration nextRetry() {
    Duration delay = retry;
    Duration doubled = retry.multipliedBy(2);
    retry = doubled.compareTo(MAX_RETRY) > 0 ? MAX_RETRY : doubled;
    return delay;
  }

  private static FeedException.Reason reason(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return cause instanceof FeedException feed ? feed.reason() : FeedException.Reason.UNAVAILABLE;
  }

  private void register() {
    if (leaving) {
      return;
    }
    feed.register(self, ENTRY_LIFETIME)
        .whenComplete(
            (granted, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null) {
                        log.event(GatewayEvent.REGISTRATION_FAILED).cause(failure).write();
                        loop.after(MAX_RETRY, this::register);
                      } else {
                        lease = granted;
                        log.event(GatewayEvent.REGISTERED).with("lease", granted).write();
                        loop.after(RENEW_INTERVAL, this::renew);
                      }
                    }));
  }

  private void renew() {
    if (leaving) {
      return;
    }
    feed.renewLease(lease)
        .whenComplete(
            (done, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null && reason(failure) == FeedException.Reason.LEASE_ENDED) {
                        register();
                      } else {
                        loop.after(failure == null ? RENEW_INTERVAL : MAX_RETRY, this::renew);
                      }
                    }));
  }

  /** Removes this node's entry. */
  void leave() {
    leaving = true;
    if (lease != 0) {
      feed.endLease(lease);
    }
  }
}
