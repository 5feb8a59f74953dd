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
 * Keeps the configuration of a process up to date: from the store if the process is one of the few
 * watchers, and from its connected peers otherwise.
 *
 * <p>Example: {@code ConfigService config = ConfigService.start(self, true, store, random, clock,
 * log); config.addListener(document -> ...);}. The program calls {@link #connected}, {@link
 * #heard}, {@link #received} and {@link #disconnected} for its connections, and puts {@link
 * #version} into HELLO, PING and PONG.
 */
public final class ConfigService implements AutoCloseable {
  /** Key of the document in the store. */
  public static final String KEY = "config/document";

  /** Time for which a process without a document waits for peers before it reads the store. */
  static final Duration FIRST_READ_DELAY = Duration.ofMillis(500);

  private final ConfigMember self;
  private final boolean entry;
  private final InstantSource clock;
  private final EventLog log;
  private final ConfigReplica replica;
  private final KeyValueStore store;
  private final StoreWatch watch;
  private final ScheduledExecutorService executor;
  private final List<Consumer<ConfigDocument>> listeners = new CopyOnWriteArrayList<>();
  private final Map<ConfigPeer, Long> heard = new ConcurrentHashMap<>();
  private final Map<ConfigPeer, Long> ids = new HashMap<>();
  private final Map<Long, ConfigPeer> peers = new HashMap<>();
  private long lastId;
  private volatile ConfigDocument current = ConfigDocument.empty();

  private ConfigService(
      ConfigMember self,
      boolean entry,
      KeyValueStore store,
      RandomGenerator random,
      InstantSource clock,
      EventLog log) {
    this.self = self;
    this.entry = entry;
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
            store, executor, random, log, value -> apply(new Event.StoreRead(value.value())));
  }

  /**
   * Returns a running service.
   *
   * @param self this process
   * @param entry whether this process is an entry; agents never watch the store
   * @param store the key-value service
   */
  public static ConfigService start(
      ConfigMember self,
      boolean entry,
      KeyValueStore store,
      RandomGenerator random,
      InstantSource clock,
      EventLog log) {
    ConfigService service = new ConfigService(self, entry, store, random, clock, log);
    service.scheduleFirstRead();
    return service;
  }

  /** Returns the document in force; its version is 0 while none is known. */
  public ConfigDocument current() {
    return current;
  }

  /** Returns the version in force, as HELLO, PING and PONG carry it. */
  public long version() {
    return current.version();
  }

  /**
   * Adds a listener. It is called with each new document in the order of versions, and first with
   * the current one if its version is above 0, always on the same thread; it must not block.
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

  /** Names the entries that are known now, this process included; decides who watches the store. */
  public void knownEntries(Collection<ConfigMember> entries) {
    List<ConfigMember> known = List.copyOf(entries);
    if (entry) {
      execute(() -> watch.setActive(WatcherElection.watches(self, known)));
    }
  }

  /** Adds a peer whose HELLO named a version. */
  public void connected(ConfigPeer peer, long version) {
    heard(peer, version);
  }

  /** Tells the version that a peer named in PING or PONG. */
  public void heard(ConfigPeer peer, long version) {
    Long last = heard.put(peer, version);
    if (last != null && last == version && version <= version()) {
      // Most heartbeats bring nothing new; they must not cost a task on the service's thread.
      return;
    }
    execute(
        () -> {
          boolean sameRegion = peer.region().equals(self.region());
          apply(new Event.PeerVersion(id(peer), sameRegion, version));
        });
  }

  /**
   * Handles a message of a peer.
   *
   * @return false if the message isn't one of the configuration's
   */
  public boolean received(ConfigPeer peer, Message message) {
    if (message instanceof Message.ConfigRequest m) {
      execute(() -> apply(new Event.RequestReceived(id(peer), m.fromVersion())));
    } else if (message instanceof Message.ConfigDelta m) {
      execute(
          () ->
              apply(
                  new Event.DeltaReceived(id(peer), m.fromVersion(), m.toVersion(), m.changes())));
    } else if (message instanceof Message.ConfigSnapshot m) {
      execute(() -> apply(new Event.SnapshotReceived(id(peer), m.version(), m.document())));
    } else {
      return false;
    }
    return true;
  }

  /** Removes a peer whose connection was closed. */
  public void disconnected(ConfigPeer peer) {
    heard.remove(peer);
    execute(
        () -> {
          Long id = ids.remove(peer);
          if (id != null) {
            peers.remove(id);
            apply(new Event.PeerDisconnected(id));
          }
        });
  }

  /**
   * Brings a command into the store. The future never fails; its result says whether the command
   * was accepted, and the accepted version is in force in this process soon after.
   */
  public CompletableFuture<Result> submit(ConfigEditor.Command command) {
    Optional<Result> settled = ConfigAcceptor.settle(command, current);
    if (settled.isPresent()) {
      return CompletableFuture.completedFuture(settled.get());
    }
    return Submission.start(command, current.version(), store, executor, clock)
        .thenApply(this::learn);
  }

  /**
   * Looks for the outcome of a command: in the document in force, else in the store.
   *
   * @return the change that the command made, or empty if there is none yet; fails if the store
   *     doesn't answer or its document can't be read
   */
  public CompletableFuture<Optional<ChangeRecord>> find(String commandId) {
    Optional<ChangeRecord> known = ChangeLog.find(current, commandId);
    if (known.isPresent()) {
      return CompletableFuture.completedFuture(known);
    }
    return store
        .get(KEY)
        .thenApply(
            entry -> {
              ConfigDocument stored = read(entry);
              execute(() -> apply(new Event.Accepted(stored)));
              return ChangeLog.find(stored, commandId);
            });
  }

  private static ConfigDocument read(Optional<KeyValueStore.Entry> entry) {
    try {
      return entry.isEmpty() ? ConfigDocument.empty() : ConfigJson.readPlainOrCompressed(entry.get().value());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Result learn(Result result) {
    ConfigDocument accepted = result.document();
    if (accepted != null) {
      execute(() -> apply(new Event.Accepted(accepted)));
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
      // The service is closed; late messages of closing connections have no effect.
    }
  }

  private void scheduleFirstRead() {
    executor.schedule(this::readIfAlone, FIRST_READ_DELAY.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Reads the store once, unless peers or a watch provide the document. */
  private void readIfAlone() {
    if (current.version() > 0) {
      return;
    }
    if (replica.peers() == 0 && !watch.active()) {
      watch.readOnce();
    }
    executor.schedule(this::readIfAlone, watch.retryDelay().toMillis(), TimeUnit.MILLISECONDS);
  }

  private long id(ConfigPeer peer) {
    return ids.computeIfAbsent(
        peer,
        added -> {
          lastId++;
          peers.put(lastId, added);
          return lastId;
        });
  }

  private void apply(Event event) {
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
    @Nullable ConfigPeer peer = peers.get(id);
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
