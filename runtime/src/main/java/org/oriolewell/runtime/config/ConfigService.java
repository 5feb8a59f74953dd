package org.oriolewell.runtime.config;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ChangeLog;
import org.oriolewell.core.config.ChangeRecord;
import org.oriolewell.core.config.ConfigAcceptor;
import org.oriolewell.core.config.ConfigAcceptor.Result;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.ConfigEditor;
import org.oriolewell.core.config.ConfigJson;
import org.oriolewell.core.config.ConfigMember;
import org.oriolewell.core.config.ConfigReplica;
import org.oriolewell.core.config.ConfigReplica.Action;
import org.oriolewell.core.config.ConfigReplica.Event;
import org.oriolewell.core.config.WatcherElection;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.platform.KeyValueStore;
import org.oriolewell.runtime.wire.Message;

/**
 * Keeps the configuration of a process up to date: from the store if the process is one of the
 * elected watchers, and from its connected peers otherwise.
 *
 * <p>Example: {@code ConfigService config = ConfigService.start(self, true, store, random, clock,
 * log); config.addListener(document -> ...);}. The program calls {@link #connected}, {@link
 * #versionReceived}, {@link #received} and {@link #disconnected} for its connections, and puts
 * {@link #version} into HELLO, PING and PONG.
 */
public final class ConfigService implements AutoCloseable {
  /** Key of the configuration document in the store. */
  public static final String DOCUMENT_KEY = "config/document";

  /**
   * Time for which a starting process waits for a document from peers before it reads the store.
   */
  static final Duration FIRST_READ_DELAY = Duration.ofMillis(500);

  private final ConfigMember self;
  private final boolean isEntry;
  private final InstantSource clock;
  private final EventLog log;
  private final ConfigReplica replica;
  private final KeyValueStore store;
  private final StoreWatch watch;
  private final ScheduledExecutorService executor;
  private final List<Consumer<ConfigDocument>> listeners = new CopyOnWriteArrayList<>();
  private final Map<ConfigPeer, Long> peerVersions = new ConcurrentHashMap<>();
  private final Map<ConfigPeer, Long> peerIds = new HashMap<>();
  private final Map<Long, ConfigPeer> peersById = new HashMap<>();
  private long lastPeerId;
  private volatile ConfigDocument current = ConfigDocument.empty();

  private ConfigService(
      ConfigMember self,
      boolean isEntry,
      KeyValueStore store,
      RandomGenerator random,
      InstantSource clock,
      EventLog log) {
    this.self = self;
    this.isEntry = isEntry;
    this.store = store;
    this.clock = clock;
    this.log = log;
    replica = ConfigReplica.create(random);
    executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "config");
              thread.setDaemon(true);
              return thread;
            });
    watch =
        new StoreWatch(
            store, executor, random, log, value -> handle(new Event.StoreRead(value.value())));
  }

  /**
   * Returns a service that has started.
   *
   * @param self name and region of this process
   * @param isEntry whether this process is an entry; agents never watch the store
   * @param store key-value store that holds the document
   */
  public static ConfigService start(
      ConfigMember self,
      boolean isEntry,
      KeyValueStore store,
      RandomGenerator random,
      InstantSource clock,
      EventLog log) {
    ConfigService service = new ConfigService(self, isEntry, store, random, clock, log);
    service.scheduleFirstRead();
    return service;
  }

  /** Returns the document in force; its version is 0 while none is known. */
  public ConfigDocument current() {
    return current;
  }

  /** Returns the version in force, which HELLO, PING and PONG carry. */
  public long version() {
    return current.version();
  }

  /**
   * Adds a listener of new documents. It is called with each new document in the order of versions,
   * and first with the current one if its version is above 0. All calls are on the same thread,
   * which the listener must not block.
   */
  public void addListener(Consumer<ConfigDocument> listener) {
    execute(
        () -> {
          listeners.add(listener);
          if (current.version() > 0) {
            notify(listener, current);
          }
        });
  }

  /** Sets the known entries, including this process, of which some watch the store. */
  public void knownEntries(Collection<ConfigMember> entries) {
    List<ConfigMember> knownEntries = List.copyOf(entries);
    if (isEntry) {
      execute(() -> watch.setActive(WatcherElection.watches(self, knownEntries)));
    }
  }

  /** Adds a peer, with the configuration version that its HELLO reported. */
  public void connected(ConfigPeer peer, long version) {
    versionReceived(peer, version);
  }

  /** Handles the configuration version that a peer reported in PING or PONG. */
  public void versionReceived(ConfigPeer peer, long version) {
    Long lastVersion = peerVersions.put(peer, version);
    if (lastVersion != null && lastVersion == version && version <= version()) {
      // Most heartbeats report no new version; they must not cost a task on the service's thread.
      return;
    }
    execute(
        () -> {
          boolean sameRegion = peer.region().equals(self.region());
          handle(new Event.PeerVersion(idOf(peer), sameRegion, version));
        });
  }

  /**
   * Handles a configuration message of a peer; ignores other messages.
   *
   * @return whether the message is a configuration message
   */
  public boolean received(ConfigPeer peer, Message message) {
    if (message instanceof Message.ConfigRequest m) {
      execute(() -> handle(new Event.RequestReceived(idOf(peer), m.fromVersion())));
    } else if (message instanceof Message.ConfigDelta m) {
      execute(
          () ->
              handle(
                  new Event.DeltaReceived(
                      idOf(peer), m.fromVersion(), m.toVersion(), m.changes())));
    } else if (message instanceof Message.ConfigSnapshot m) {
      execute(() -> handle(new Event.SnapshotReceived(idOf(peer), m.version(), m.document())));
    } else {
      return false;
    }
    return true;
  }

  /** Removes a peer whose connection was closed. */
  public void disconnected(ConfigPeer peer) {
    peerVersions.remove(peer);
    execute(
        () -> {
          Long id = peerIds.remove(peer);
          if (id != null) {
            peersById.remove(id);
            handle(new Event.PeerDisconnected(id));
          }
        });
  }

  /**
   * Submits a command to the store. The future never fails; its result says whether the command was
   * accepted, and the accepted version is in force in this process soon after.
   */
  public CompletableFuture<Result> submit(ConfigEditor.Command command) {
    Optional<Result> knownResult = ConfigAcceptor.settle(command, current);
    if (knownResult.isPresent()) {
      return CompletableFuture.completedFuture(knownResult.get());
    }
    return Submission.start(command, current.version(), store, executor, clock)
        .thenApply(this::adoptAccepted);
  }

  /**
   * Looks up the change that a command made, first in the document in force, then in the store.
   *
   * @return future of the change, empty if the command has made none yet; it fails if the store
   *     doesn't answer or the stored document can't be read
   */
  public CompletableFuture<Optional<ChangeRecord>> find(String commandId) {
    Optional<ChangeRecord> knownChange = ChangeLog.find(current, commandId);
    if (knownChange.isPresent()) {
      return CompletableFuture.completedFuture(knownChange);
    }
    return store
        .get(DOCUMENT_KEY)
        .thenApply(
            entry -> {
              ConfigDocument stored = storedDocument(entry);
              execute(() -> handle(new Event.Accepted(stored)));
              return ChangeLog.find(stored, commandId);
            });
  }

  private static ConfigDocument storedDocument(Optional<KeyValueStore.Entry> entry) {
    try {
      return entry.isEmpty()
          ? ConfigDocument.empty()
          : ConfigJson.readPlainOrCompressed(entry.get().value());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Result adoptAccepted(Result result) {
    ConfigDocument accepted = result.document();
    if (accepted != null) {
      execute(() -> handle(new Event.Accepted(accepted)));
    }
    return result;
  }

  @Override
  public void close() {
    watch.close();
    executor.shutdownNow();
  }

  private void execute(Runnable task) {
    try {
      executor.execute(task);
    } catch (RejectedExecutionException e) {
      // The service is closed; messages that still arrive on closing connections are ignored.
    }
  }

  private void scheduleFirstRead() {
    executor.schedule(
        this::readStoreIfIsolated, FIRST_READ_DELAY.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Reads the store if neither a peer nor a watch is there; repeats until a document is known. */
  private void readStoreIfIsolated() {
    if (current.version() > 0) {
      return;
    }
    if (replica.peerCount() == 0 && !watch.active()) {
      watch.readOnce();
    }
    executor.schedule(
        this::readStoreIfIsolated, watch.retryDelay().toMillis(), TimeUnit.MILLISECONDS);
  }

  private long idOf(ConfigPeer peer) {
    return peerIds.computeIfAbsent(
        peer,
        newPeer -> {
          lastPeerId++;
          peersById.put(lastPeerId, newPeer);
          return lastPeerId;
        });
  }

  private void handle(Event event) {
    replica.on(event, clock.instant()).forEach(this::perform);
  }

  private void perform(Action action) {
    if (action instanceof Action.SendRequest a) {
      send(a.peer(), new Message.ConfigRequest(a.fromVersion()));
    } else if (action instanceof Action.SendDelta a) {
      send(a.peer(), new Message.ConfigDelta(a.fromVersion(), a.toVersion(), a.changes()));
    } else if (action instanceof Action.SendSnapshot a) {
      send(a.peer(), new Message.ConfigSnapshot(a.version(), a.document()));
    } else if (action instanceof Action.Publish a) {
      publish(a.document());
    } else if (action instanceof Action.ReportRefused a) {
      log.event(ConfigEvent.CONFIG_REFUSED)
          .with("source", a.source())
          .with("reason", a.message())
          .with("in_force", current.version())
          .write();
    } else if (action instanceof Action.ReportStoreBehind a) {
      log.event(ConfigEvent.CONFIG_STORE_BEHIND)
          .with("stored", a.storeVersion())
          .with("in_force", a.version())
          .write();
    }
  }

  private void send(long id, Message message) {
    @Nullable ConfigPeer peer = peersById.get(id);
    if (peer != null) {
      peer.send(message);
    }
  }

  private void publish(ConfigDocument document) {
    current = document;
    log.event(ConfigEvent.CONFIG_IN_FORCE).with("version", document.version()).write();
    listeners.forEach(listener -> notify(listener, document));
  }

  private void notify(Consumer<ConfigDocument> listener, ConfigDocument document) {
    try {
      listener.accept(document);
    } catch (RuntimeException e) {
      log.event(ConfigEvent.CONFIG_LISTENER_FAILED).cause(e).write();
    }
  }
}
