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
 * Keeps this gateway's copy of the configuration and of the lists of upstreams and gateways up to
 * date, and keeps this gateway registered. Used on the event loop only.
 */
final class ControlPlane {
  /**
   * Longest time that the store holds a call for changes open. Each answer confirms that the copy
   * is fresh. A failed call takes 1 s more and is followed by short ones, so that one failed call,
   * and almost a second one, fits into the usual key revocation limit of 5 s.
   */
  private static final Duration POLL_WAIT = Duration.ofMillis(2000);

  /** The same time for a call after a failed one, which has to confirm the copy soon. */
  private static final Duration POLL_WAIT_AFTER_FAILURE = Duration.ofMillis(100);

  /**
   * Pause after an answer with changes, so that further ones are read in one batch: calls to the
   * store cost money, and many upstreams and gateways change at once. Changes must be applied
   * within 2.5 s.
   */
  private static final Duration CHANGE_BATCH_DELAY = Duration.ofMillis(200);

  /** Pause after a first failed call; doubles with each further one, to protect the store. */
  private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(100);

  /** Longest pause between failed calls; a recovered store is noticed within a second. */
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(800);

  /** Interval of the clock check, which detects a suspended process even without requests. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

  /** Part of the key revocation limit that is reserved for sending a request to its upstream. */
  private static final Duration REVOCATION_MARGIN = Duration.ofMillis(600);

  /**
   * Lease of this gateway's entry; peers try to connect to a dead gateway for at most this time.
   */
  private static final Duration LEASE_DURATION = Duration.ofSeconds(10);

  /** Interval of lease renewals; two may fail before the lease expires. */
  private static final Duration LEASE_RENEW_INTERVAL = Duration.ofSeconds(3);

  private final EventLoop loop;
  private final ControlFeed feed;
  private final EventLog log;
  private final InstantSource clock;
  private final Peer self;
  private final UpstreamRoster roster;
  private final ViewFreshness freshness;
  private final Map<String, Peer> peersByName = new HashMap<>();
  private final List<Runnable> changeListeners = new ArrayList<>();
  private QuarantineListener quarantineListener = new QuarantineListener() {};
  private @Nullable RouteTable table;
  private boolean storeLost;
  private Duration retryDelay = FIRST_RETRY_DELAY;
  private long leaseId;

  /** Store revision that the copy reflects; 0 before the first snapshot. */
  private long storeRevision;

  private boolean confirmingFreshness;
  private boolean unregistering;
  private long storeEra;

  /** Receives the entries of the store about prompt parts in quarantine. */
  interface QuarantineListener {
    /** Called when a part is listed as quarantined, or its entry has changed. */
    default void onQuarantined(String part, Duration trialDelay) {}

    /** Called when the entry of a part was removed. */
    default void onReleased(String part) {}

    /** Called with all listed parts when everything was read again. */
    default void onSnapshot(Set<String> quarantinedParts) {}
  }

  private ControlPlane(
      EventLoop loop,
      ControlFeed feed,
      Peer self,
      Duration revocationLimit,
      Duration lapseGrace,
      InstantSource clock,
      EventLog log) {
    this.loop = loop;
    this.feed = feed;
    this.self = self;
    this.clock = clock;
    this.log = log;
    this.roster = UpstreamRoster.create(lapseGrace);
    this.freshness = ViewFreshness.create(revocationLimit.minus(REVOCATION_MARGIN));
  }

  /**
   * Creates a control plane; {@link #start} begins to read the store.
   *
   * @param revocationLimit time after its revocation from which an API key must be refused
   * @param lapseGrace time after the store's recovery in which upstreams renew expired entries
   */
  static ControlPlane create(
      EventLoop loop,
      ControlFeed feed,
      Peer self,
      Duration revocationLimit,
      Duration lapseGrace,
      InstantSource clock,
      EventLog log) {
    return new ControlPlane(loop, feed, self, revocationLimit, lapseGrace, clock, log);
  }

  /** Begins to read the store and registers this gateway. */
  void start() {
    loop.every(CHECK_INTERVAL, this::runPeriodicChecks);
    feed.observeEras(this::onEra);
    readSnapshot();
    register();
  }

  /** Adds a task that runs after each change of the configuration, upstreams or gateways. */
  void onChange(Runnable task) {
    changeListeners.add(task);
  }

  /** Sets the receiver of the entries about prompt parts in quarantine. */
  void quarantineListener(QuarantineListener listener) {
    quarantineListener = listener;
  }

  /** Returns the configuration in force, or null if none is known yet. */
  @Nullable RouteTable table() {
    return table;
  }

  /** Returns the known upstreams of all services. */
  UpstreamRoster roster() {
    return roster;
  }

  /** Returns the other gateways. */
  Collection<Peer> peers() {
    return peersByName.values();
  }

  /** Returns the entry of this gateway. */
  Peer self() {
    return self;
  }

  /** Returns whether the copy was confirmed recently enough to accept API keys. */
  boolean fresh() {
    observeClocks();
    return freshness.fresh(loop.now());
  }

  /** Returns the time since the copy was confirmed, in milliseconds; -1 if it never was. */
  long ageMillis() {
    return freshness.ageMillis(loop.now());
  }

  private void observeClocks() {
    if (freshness.observeClocks(loop.now(), clock.millis())) {
      log.event(GatewayEvent.CLOCK_JUMPED).write();
      startConfirmingFreshness();
    }
  }

  /**
   * Asks the store whether the copy is current, until it is fresh again. The pending call for
   * changes was sent before the clocks jumped, so its answer confirms nothing. Changes are applied
   * from the answer to that call, which receives them, too.
   */
  private void startConfirmingFreshness() {
    if (!confirmingFreshness && storeRevision != 0) {
      confirmingFreshness = true;
      confirmFreshness();
    }
  }

  private void confirmFreshness() {
    long sentAt = loop.now();
    feed.changes(storeRevision, POLL_WAIT_AFTER_FAILURE)
        .whenComplete(
            (batch, failure) ->
                loop.execute(
                    () -> {
                      if (failure == null && batch.updates().isEmpty()) {
                        freshness.confirm(sentAt, sentAt);
                      }
                      confirmingFreshness = !freshness.fresh(loop.now());
                      if (confirmingFreshness) {
                        Duration pause = failure == null ? CHANGE_BATCH_DELAY : MAX_RETRY_DELAY;
                        loop.after(pause, this::confirmFreshness);
                      }
                    }));
  }

  private boolean onEra(long era) {
    if (era > storeEra && storeEra > 0) {
      log.event(GatewayEvent.STORE_RESTORED)
          .with("era", era)
          .with("known_revision", storeRevision)
          .write();
    }
    storeEra = Math.max(storeEra, era);
    return true;
  }

  private void runPeriodicChecks() {
    observeClocks();
    List<UpstreamInstance> expiredUpstreams = roster.expireLapsed(loop.now());
    expiredUpstreams.forEach(
        upstream ->
            log.event(GatewayEvent.UPSTREAM_UNLISTED)
                .with("upstream", upstream.id())
                .with("reason", "not listed again after the store's return")
                .write());
    if (!expiredUpstreams.isEmpty()) {
      notifyListeners();
    }
  }

  private void readSnapshot() {
    long sentAt = loop.now();
    feed.snapshot()
        .whenComplete(
            (batch, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null) {
                        onStoreLost(failure);
                        loop.after(nextRetryDelay(), this::readSnapshot);
                      } else {
                        onStoreRegained();
                        replaceAll(batch);
                        freshness.confirm(sentAt, sentAt);
                        notifyListeners();
                        pollChanges(batch.revision(), POLL_WAIT);
                      }
                    }));
  }

  private void pollChanges(long afterRevision, Duration maxWait) {
    long sentAt = loop.now();
    storeRevision = afterRevision;
    feed.changes(afterRevision, maxWait)
        .whenComplete(
            (batch, failure) ->
                loop.execute(
                    () -> {
                      if (failure == null) {
                        applyChanges(batch, sentAt, maxWait);
                      } else if (failureReason(failure) == FeedException.Reason.HISTORY_LOST) {
                        log.event(GatewayEvent.HISTORY_LOST)
                            .with("revision", afterRevision)
                            .write();
                        readSnapshot();
                      } else {
                        onStoreLost(failure);
                        loop.after(
                            nextRetryDelay(),
                            () -> pollChanges(afterRevision, POLL_WAIT_AFTER_FAILURE));
                      }
                    }));
  }

  private void applyChanges(Batch batch, long sentAt, Duration maxWait) {
    onStoreRegained();
    observeClocks();
    // An empty answer after the full wait confirms its end; any other only confirms the send time.
    boolean fullWait = batch.updates().isEmpty() && loop.now() - sentAt >= maxWait.toNanos();
    batch.updates().forEach(this::applyUpdate);
    freshness.confirm(sentAt, fullWait ? sentAt + maxWait.toNanos() : sentAt);
    storeRevision = batch.revision();
    if (batch.updates().isEmpty()) {
      pollChanges(batch.revision(), POLL_WAIT);
    } else {
      notifyListeners();
      loop.after(CHANGE_BATCH_DELAY, () -> pollChanges(batch.revision(), POLL_WAIT));
    }
  }

  private void replaceAll(Batch batch) {
    List<UpstreamInstance> upstreams = new ArrayList<>();
    Set<String> listedNames = new HashSet<>();
    Set<String> quarantinedParts = new HashSet<>();
    for (Update update : batch.updates()) {
      if (update instanceof Update.UpstreamListed listed) {
        upstreams.add(listed.upstream());
      } else {
        if (update instanceof Update.PeerListed listed) {
          listedNames.add(listed.peer().name());
        } else if (update instanceof Update.PartQuarantined listed) {
          quarantinedParts.add(listed.part());
        }
        applyUpdate(update);
      }
    }
    roster.replaceAll(upstreams, loop.now());
    peersByName.keySet().retainAll(listedNames);
    quarantineListener.onSnapshot(quarantinedParts);
  }

  private void applyUpdate(Update update) {
    if (update instanceof Update.Configured configured) {
      applyTable(configured.table());
    } else if (update instanceof Update.UpstreamListed listed) {
      applyUpstream(listed.upstream());
    } else if (update instanceof Update.UpstreamUnlisted unlisted) {
      roster.entryRemoved(unlisted.id(), loop.now());
      log.event(GatewayEvent.UPSTREAM_UNLISTED).with("upstream", unlisted.id()).write();
    } else if (update instanceof Update.PeerListed listed) {
      if (!listed.peer().name().equals(self.name())) {
        peersByName.put(listed.peer().name(), listed.peer());
      }
    } else if (update instanceof Update.PeerUnlisted unlisted) {
      peersByName.remove(unlisted.name());
    } else if (update instanceof Update.PartQuarantined quarantined) {
      quarantineListener.onQuarantined(quarantined.part(), quarantined.trialDelay());
    } else if (update instanceof Update.PartReleased released) {
      quarantineListener.onReleased(released.part());
    } else if (update instanceof Update.Unreadable unreadable) {
      log.event(GatewayEvent.ENTRY_UNREADABLE)
          .with("key", unreadable.key())
          .with("problem", unreadable.problem())
          .write();
    }
  }

  private void applyUpstream(UpstreamInstance upstream) {
    boolean alreadyListed = roster.find(upstream.id()).filter(upstream::equals).isPresent();
    roster.entryWritten(upstream);
    if (!alreadyListed) {
      log.event(GatewayEvent.UPSTREAM_LISTED)
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("address", upstream.address())
          .with("zone", upstream.zone())
          .with("draining", upstream.draining())
          .write();
    }
  }

  private void applyTable(RouteTable newTable) {
    RouteTable currentTable = table;
    if (currentTable != null && newTable.version() < currentTable.version()) {
      log.event(GatewayEvent.CONFIG_OUTDATED)
          .with("version", newTable.version())
          .with("in_force", currentTable.version())
          .write();
      return;
    }
    if (currentTable == null || newTable.version() > currentTable.version()) {
      log.event(GatewayEvent.CONFIG_APPLIED).with("version", newTable.version()).write();
    }
    table = newTable;
  }

  private void notifyListeners() {
    changeListeners.forEach(Runnable::run);
  }

  private void onStoreLost(Throwable failure) {
    roster.storeLost();
    if (!storeLost) {
      storeLost = true;
      log.event(GatewayEvent.STORE_LOST).cause(failure).write();
    }
  }

  private void onStoreRegained() {
    retryDelay = FIRST_RETRY_DELAY;
    roster.storeRegained(loop.now());
    if (storeLost) {
      storeLost = false;
      log.event(GatewayEvent.STORE_REGAINED).write();
    }
  }

  private Duration nextRetryDelay() {
    Duration delay = retryDelay;
    Duration doubledDelay = retryDelay.multipliedBy(2);
    retryDelay = doubledDelay.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : doubledDelay;
    return delay;
  }

  private static FeedException.Reason failureReason(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return cause instanceof FeedException feedException
        ? feedException.reason()
        : FeedException.Reason.UNAVAILABLE;
  }

  private void register() {
    if (unregistering) {
      return;
    }
    feed.register(self, LEASE_DURATION)
        .whenComplete(
            (grantedLeaseId, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null) {
                        log.event(GatewayEvent.REGISTRATION_FAILED).cause(failure).write();
                        loop.after(MAX_RETRY_DELAY, this::register);
                      } else {
                        leaseId = grantedLeaseId;
                        log.event(GatewayEvent.REGISTERED).with("lease", grantedLeaseId).write();
                        loop.after(LEASE_RENEW_INTERVAL, this::renew);
                      }
                    }));
  }

  private void renew() {
    if (unregistering) {
      return;
    }
    feed.renewLease(leaseId)
        .whenComplete(
            (done, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null
                          && failureReason(failure) == FeedException.Reason.LEASE_ENDED) {
                        register();
                      } else {
                        loop.after(
                            failure == null ? LEASE_RENEW_INTERVAL : MAX_RETRY_DELAY, this::renew);
                      }
                    }));
  }

  /** Removes this gateway from the list of gateways. */
  void unregister() {
    unregistering = true;
    if (leaseId != 0) {
      feed.endLease(leaseId);
    }
  }
}
