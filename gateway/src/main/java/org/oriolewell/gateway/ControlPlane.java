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
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.roster.StoreHistory;
import org.oriolewell.core.roster.StoreHistory.Change;
import org.oriolewell.core.roster.UpstreamEntry;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.roster.UpstreamRoster;
import org.oriolewell.core.roster.ViewFreshness;
import org.oriolewell.core.route.ColdStart;
import org.oriolewell.core.route.RouteTable;
import org.oriolewell.core.route.ServiceSpec;
import org.oriolewell.core.routing.Hashing;
import org.oriolewell.gateway.ControlFeed.Batch;
import org.oriolewell.gateway.ControlFeed.Peer;
import org.oriolewell.gateway.ControlFeed.Update;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/**
 * Keeps this gateway's copy of the configuration and of the lists of upstreams and gateways up to
 * date, and keeps this gateway registered. Used on the event loop only.
 */
final class ControlPlane implements FeedReader.Receiver {
  /** Interval of the clock check, which detects a suspended process even without requests. */
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

  /** Part of the key revocation limit that is reserved for sending a request to its upstream. */
  private static final Duration REVOCATION_MARGIN = Duration.ofMillis(600);

  /** Time after which gateways mark a history as settled that the first of them has not. */
  private static final Duration MISSING_MARK_DELAY = Duration.ofSeconds(2);

  /** Further delay of such a write, different for each gateway, so that one is enough. */
  private static final int MAX_DELAY_SPREAD_MILLIS = 2000;

  /** Time that stands for no limit on the next confirmation. */
  private static final Duration UNBOUNDED_TIME = Duration.ofDays(1);

  private final EventLoop loop;
  private final ControlFeed feed;
  private final FeedReader reader;
  private final FailureGuard guard;
  private final EventLog log;
  private final InstantSource clock;
  private final Peer self;
  private final UpstreamRoster roster;
  private final ViewFreshness freshness;
  private final Map<String, Peer> peersByName = new HashMap<>();
  private final List<Runnable> changeListeners = new ArrayList<>();
  private QuarantineListener quarantineListener = new QuarantineListener() {};
  private UpstreamListener upstreamListener = (entry, duringTraffic) -> {};
  private long viewKnownSince;
  private boolean viewKnown;
  private EvacuationListener evacuationListener = new EvacuationListener() {};
  private @Nullable RouteTable table;
  private final Duration settleTime;
  private final StoreHistory history;
  private final SelfRegistration registration;

  /** Peers whose entries a restored store lacks; they have their lease to write them again. */
  private final Set<String> unconfirmedPeers = new HashSet<>();

  /** Configuration that a gateway without one has read in a history that isn't settled. */
  private Update.@Nullable Configured heldConfig;

  private boolean storeLost;

  /** Whether the store was restored and not read since. */
  private boolean restoredUnread;

  /** Store revision of the configuration in force; 0 if there is none. */
  private long configRevision;

  /** Era in which {@link #onSettled} was called last. */
  private long settledEra;

  /** Era that is marked as settled in the store. */
  private long markedEra;

  private boolean confirmingFreshness;

  /** Receives the entries of the store about subjects in quarantine. */
  interface QuarantineListener {
    /** Called when a subject is listed as quarantined, or its entry has changed. */
    default void onQuarantined(String subject, Duration trialDelay) {}

    /** Called when the entry of a subject was removed. */
    default void onReleased(String subject) {}

    /**
     * Called when everything was read again.
     *
     * @param trialDelaysBySubject times until the trials of all listed subjects
     * @param restored whether the store has come back with an older copy of its content
     */
    default void onSnapshot(Map<String, Duration> trialDelaysBySubject, boolean restored) {}
  }

  /** Receives the entries of upstreams. */
  @FunctionalInterface
  interface UpstreamListener {
    /**
     * Called when an entry was read.
     *
     * @param duringTraffic whether the upstreams that are listed had been read before
     */
    void onListed(UpstreamEntry entry, boolean duringTraffic);
  }

  /** Receives the operators' orders to evacuate availability zones. */
  interface EvacuationListener {
    /** Called when an order is in the store. */
    default void onOrdered(String zone) {}

    /** Called when all components have been told of the orders. */
    default void onApplied() {}

    /** Called when an order was removed from the store. */
    default void onRemoved(String zone) {}

    /**
     * Called when everything was read again.
     *
     * @param listed zones whose orders are in the store
     * @param settled whether the store's history is settled
     */
    default void onReread(Set<String> listed, boolean settled) {}

    /** Called when the store's history is settled. */
    default void onSettled() {}
  }

  private ControlPlane(
      EventLoop loop,
      ControlFeed feed,
      Peer self,
      Duration revocationLimit,
      Duration lapseGrace,
      Duration settleTime,
      InstantSource clock,
      EventLog log) {
    this.loop = loop;
    this.feed = feed;
    this.self = self;
    this.clock = clock;
    this.log = log;
    this.roster = UpstreamRoster.create(lapseGrace);
    this.freshness = ViewFreshness.create(revocationLimit.minus(REVOCATION_MARGIN));
    this.settleTime = settleTime;
    this.history = StoreHistory.create(settleTime);
    this.registration = new SelfRegistration(loop, feed, self, log);
    this.guard = new FailureGuard(log);
    this.reader = new FeedReader(loop, feed, this, log);
  }

  /**
   * Creates a control plane; {@link #start} begins to read the store.
   *
   * @param revocationLimit time after its revocation from which an API key must be refused
   * @param lapseGrace time after the store's recovery in which upstreams renew expired entries
   * @param settleTime time after the return of a restored store within which the operators write
   *     their configuration again
   */
  static ControlPlane create(
      EventLoop loop,
      ControlFeed feed,
      Peer self,
      Duration revocationLimit,
      Duration lapseGrace,
      Duration settleTime,
      InstantSource clock,
      EventLog log) {
    return new ControlPlane(loop, feed, self, revocationLimit, lapseGrace, settleTime, clock, log);
  }

  /** Begins to read the store and registers this gateway. */
  void start() {
    loop.every(CHECK_INTERVAL, this::runPeriodicChecks);
    feed.observeEras(this::onEra);
    reader.restart();
    registration.start();
  }

  /** Adds a task that runs after each change of the configuration, upstreams or gateways. */
  void onChange(Runnable task) {
    changeListeners.add(task);
  }

  /** Sets the receiver of the entries about subjects in quarantine. */
  void quarantineListener(QuarantineListener listener) {
    quarantineListener = listener;
  }

  /** Sets the receiver of the upstreams' entries. */
  void upstreamListener(UpstreamListener listener) {
    upstreamListener = listener;
  }

  /**
   * Returns whether the store has confirmed the list of gateways for a time after it was first
   * read, in which gateways that started at the same time have registered.
   */
  boolean peersSettled(Duration settlingTime) {
    long ageMillis = ageMillis();
    return viewKnown
        && ageMillis >= 0
        && loop.now() - Duration.ofMillis(ageMillis).toNanos() - viewKnownSince
            >= settlingTime.toNanos();
  }

  /** Sets the receiver of the orders to evacuate zones. */
  void evacuationListener(EvacuationListener listener) {
    evacuationListener = listener;
  }

  /** Returns the configuration in force, or null if none is known yet. */
  @Nullable RouteTable table() {
    return table;
  }

  /** Returns the cold start of a service; null while no configuration is known. */
  @Nullable ColdStart coldStart(String service) {
    RouteTable currentTable = table;
    return currentTable == null
        ? null
        : currentTable.service(service).map(ServiceSpec::coldStart).orElse(ColdStart.NEVER);
  }

  /** Returns the known upstreams of all services. */
  UpstreamRoster roster() {
    return roster;
  }

  /** Returns the other gateways. */
  Collection<Peer> peers() {
    return peersByName.values();
  }

  /** Returns whether this gateway is the first of all by rendezvous hashing for a subject. */
  boolean ranksFirst(String subject) {
    long subjectHash = Hashing.of(subject);
    long ownRank = Hashing.rank(subjectHash, Hashing.of(self.name()));
    return peersByName.keySet().stream()
        .allMatch(name -> Hashing.rank(subjectHash, Hashing.of(name)) <= ownRank);
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
    if (!confirmingFreshness && reader.revision() != 0) {
      confirmingFreshness = true;
      confirmFreshness();
    }
  }

  private void confirmFreshness() {
    long sentAt = loop.now();
    int currentReading = reader.reading();
    FailureGuard.start(() -> feed.changes(reader.revision(), FeedReader.POLL_WAIT_AFTER_FAILURE))
        .whenComplete(
            (batch, failure) ->
                loop.execute(
                    () -> {
                      if (failure == null
                          && currentReading == reader.reading()
                          && batch.updates().isEmpty()) {
                        confirmCopy(sentAt, sentAt);
                      }
                      confirmingFreshness = !freshness.fresh(loop.now());
                      if (confirmingFreshness) {
                        boolean soon = failure == null && history.isSettled(loop.now());
                        loop.after(
                            soon ? FeedReader.CHANGE_BATCH_DELAY : FeedReader.MAX_RETRY_DELAY,
                            this::confirmFreshness);
                      }
                    }));
  }

  /** Records that the store confirmed the copy, unless acknowledged changes may be missing. */
  private void confirmCopy(long sentAt, long validAt) {
    if (history.isSettled(validAt)) {
      freshness.confirm(sentAt, validAt);
    }
  }

  private boolean onEra(long era) {
    long knownEra = history.era();
    Change change = history.observe(era, loop.now());
    if (history.era() != knownEra) {
      loop.after(
          settleTime,
          () -> {
            if (history.era() == era) {
              onSettled();
            }
          });
    }
    if (change == Change.RESTORED) {
      onStoreRestored(era);
    }
    return change != Change.OUTDATED;
  }

  private void onStoreRestored(long era) {
    log.event(GatewayEvent.STORE_RESTORED)
        .with("era", era)
        .with("known_revision", reader.revision())
        .write();
    restoredUnread = true;
    guard.run("restored roster", () -> roster.storeRestored(loop.now()));
    guard.run("restored registration", registration::storeRestored);
    reader.restart();
  }

  /** Applies what was held back until the history of the store is settled, and marks it. */
  private void onSettled() {
    long era = history.era();
    if (era == 0 || settledEra == era) {
      return;
    }
    settledEra = era;
    guard.run("settled evacuations", evacuationListener::onSettled);
    Update.Configured config = heldConfig;
    heldConfig = null;
    if (config != null && table == null) {
      applyTable(config);
      notifyListeners();
    }
    if (!freshness.fresh(loop.now())) {
      startConfirmingFreshness();
    }
    int spreadMillis = Math.floorMod(Hashing.of(self.name()), MAX_DELAY_SPREAD_MILLIS);
    Duration delay =
        ranksFirst(Long.toString(era))
            ? Duration.ZERO
            : MISSING_MARK_DELAY.plusMillis(spreadMillis);
    loop.after(delay, () -> markSettled(era));
  }

  private void markSettled(long era) {
    if (markedEra == era || history.era() != era) {
      return;
    }
    FailureGuard.start(() -> feed.markSettled(era))
        .whenComplete(
            (done, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null) {
                        loop.after(FeedReader.MAX_RETRY_DELAY, () -> markSettled(era));
                      }
                    }));
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

  /** No answer confirms the copy before the history is settled, so there is no hurry until then. */
  @Override
  public Duration confirmationTime() {
    return history.isSettled(loop.now()) ? freshness.freshFor(loop.now()) : UNBOUNDED_TIME;
  }

  @Override
  public void onSnapshot(Batch batch, long sentAt) {
    replaceAll(batch);
    confirmCopy(sentAt, sentAt);
    notifyListeners();
  }

  @Override
  public void onChanges(Batch batch, long sentAt, Duration maxWait) {
    observeClocks();
    // An empty answer after the full wait confirms its end; any other only confirms the send time.
    boolean fullWait = batch.updates().isEmpty() && loop.now() - sentAt >= maxWait.toNanos();
    batch.updates().forEach(update -> guard.run(stepName(update), () -> applyChange(update)));
    confirmCopy(sentAt, fullWait ? sentAt + maxWait.toNanos() : sentAt);
    if (!batch.updates().isEmpty()) {
      notifyListeners();
    }
  }

  private static String stepName(Update update) {
    return update.getClass().getSimpleName();
  }

  private void applyChange(Update change) {
    applyUpdate(change);
    if (change instanceof Update.Configured configured
        && (table == null || configured.table().version() >= table.version())) {
      settle();
    }
  }

  /** Records that the operators have written their configuration in the current history. */
  private void settle() {
    history.confirm(history.era());
    onSettled();
  }

  private void replaceAll(Batch batch) {
    final boolean restored = restoredUnread;
    restoredUnread = false;
    List<UpstreamEntry> upstreams = new ArrayList<>();
    Set<String> listedNames = new HashSet<>();
    Set<String> evacuatedZones = new HashSet<>();
    Map<String, Duration> trialDelaysBySubject = new HashMap<>();
    long ownLeaseId = 0;
    for (Update update : batch.updates()) {
      if (update instanceof Update.UpstreamListed listed) {
        upstreams.add(listed.entry());
      } else if (update instanceof Update.SubjectQuarantined listed) {
        trialDelaysBySubject.put(listed.subject(), listed.trialDelay());
      } else if (update instanceof Update.Configured configured && restored) {
        guard.run(stepName(update), () -> applyRestoredConfig(configured));
      } else {
        if (update instanceof Update.ZoneEvacuated evacuated) {
          evacuatedZones.add(evacuated.zone());
        }
        if (update instanceof Update.PeerListed listed) {
          listedNames.add(listed.peer().name());
          ownLeaseId = listed.peer().name().equals(self.name()) ? listed.leaseId() : ownLeaseId;
        }
        guard.run(stepName(update), () -> applyUpdate(update));
      }
    }
    guard.run("roster", () -> roster.replaceAll(upstreams, loop.now()));
    final boolean duringTraffic = viewKnown;
    guard.run(
        "cold upstreams",
        () -> upstreams.forEach(entry -> upstreamListener.onListed(entry, duringTraffic)));
    if (!viewKnown) {
      viewKnown = true;
      viewKnownSince = loop.now();
    }
    if (restored) {
      final long readLeaseId = ownLeaseId;
      keepPeersForLease(listedNames);
      guard.run("registration", () -> registration.entryRead(readLeaseId));
    }
    peersByName
        .keySet()
        .removeIf(name -> !listedNames.contains(name) && !unconfirmedPeers.contains(name));
    guard.run(
        "evacuations",
        () -> evacuationListener.onReread(evacuatedZones, history.isSettled(loop.now())));
    guard.run("quarantine", () -> quarantineListener.onSnapshot(trialDelaysBySubject, restored));
  }

  /**
   * Applies the configuration of a restored store. The same version at another revision was written
   * again by the operators; it is their newest if this gateway knew the newest before.
   */
  private void applyRestoredConfig(Update.Configured configured) {
    RouteTable currentTable = table;
    boolean writtenAgain =
        currentTable != null
            && configured.table().version() == currentTable.version()
            && configured.revision() != configRevision;
    applyUpdate(configured);
    if (writtenAgain && freshness.fresh(loop.now())) {
      settle();
    }
  }

  /** Keeps the peers that a restored store doesn't list until they had time to register again. */
  private void keepPeersForLease(Set<String> listedNames) {
    unconfirmedPeers.clear();
    unconfirmedPeers.addAll(peersByName.keySet());
    unconfirmedPeers.removeAll(listedNames);
    reader.afterPause(
        SelfRegistration.LEASE_DURATION,
        () -> {
          if (peersByName.keySet().removeAll(unconfirmedPeers)) {
            notifyListeners();
          }
          unconfirmedPeers.clear();
        });
  }

  private void applyUpdate(Update update) {
    if (update instanceof Update.Configured configured) {
      applyConfig(configured);
    } else if (update instanceof Update.UpstreamListed listed) {
      applyUpstream(listed.entry());
    } else if (update instanceof Update.UpstreamUnlisted unlisted) {
      roster.entryRemoved(unlisted.id(), loop.now());
      log.event(GatewayEvent.UPSTREAM_UNLISTED).with("upstream", unlisted.id()).write();
    } else if (update instanceof Update.PeerListed listed) {
      if (!listed.peer().name().equals(self.name())) {
        peersByName.put(listed.peer().name(), listed.peer());
        unconfirmedPeers.remove(listed.peer().name());
      }
    } else if (update instanceof Update.PeerUnlisted unlisted) {
      peersByName.remove(unlisted.name());
    } else if (update instanceof Update.SubjectQuarantined quarantined) {
      quarantineListener.onQuarantined(quarantined.subject(), quarantined.trialDelay());
    } else if (update instanceof Update.SubjectReleased released) {
      quarantineListener.onReleased(released.subject());
    } else if (update instanceof Update.HistorySettled settled) {
      markedEra = settled.era();
      history.confirm(settled.era());
      if (history.isSettled(loop.now())) {
        onSettled();
      }
    } else if (update instanceof Update.ZoneEvacuated evacuated) {
      evacuationListener.onOrdered(evacuated.zone());
    } else if (update instanceof Update.ZoneRestored restored) {
      evacuationListener.onRemoved(restored.zone());
    } else if (update instanceof Update.InvalidValue invalid) {
      log.event(GatewayEvent.RULE_VALUE_INVALID)
          .with("key", invalid.key())
          .with("problem", invalid.problem())
          .write();
    } else if (update instanceof Update.Unreadable unreadable) {
      log.event(GatewayEvent.ENTRY_UNREADABLE)
          .with("key", unreadable.key())
          .with("problem", unreadable.problem())
          .write();
    }
  }

  private void applyUpstream(UpstreamEntry entry) {
    UpstreamInstance upstream = entry.instance();
    boolean alreadyListed = roster.find(upstream.id()).filter(upstream::equals).isPresent();
    boolean accepted = roster.entryWritten(entry, loop.now());
    if (accepted) {
      upstreamListener.onListed(entry, true);
    }
    if (accepted && !alreadyListed) {
      log.event(GatewayEvent.UPSTREAM_LISTED)
          .with("upstream", upstream.id())
          .with("service", upstream.service())
          .with("address", upstream.address())
          .with("zone", upstream.zone())
          .with("draining", upstream.draining())
          .write();
    }
  }

  private void applyConfig(Update.Configured configured) {
    if (table == null && !history.isSettled(loop.now())) {
      heldConfig = configured;
    } else {
      applyTable(configured);
    }
  }

  private void applyTable(Update.Configured configured) {
    RouteTable newTable = configured.table();
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
    configRevision = configured.revision();
  }

  private void notifyListeners() {
    changeListeners.forEach(listener -> guard.run("change listener", listener));
    evacuationListener.onApplied();
  }

  @Override
  public void onFailed(Throwable failure) {
    roster.storeLost();
    if (!storeLost) {
      storeLost = true;
      log.event(GatewayEvent.STORE_LOST).cause(failure).write();
    }
  }

  @Override
  public void onAnswered() {
    roster.storeRegained(loop.now());
    if (storeLost) {
      storeLost = false;
      log.event(GatewayEvent.STORE_REGAINED).write();
    }
  }

  /** Removes this gateway from the list of gateways. */
  void unregister() {
    registration.end();
  }
}
