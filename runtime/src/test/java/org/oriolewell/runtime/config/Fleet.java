package org.oriolewell.runtime.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigMember;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.platform.KeyValueStore;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.Message.Load;
import org.oriolewell.runtime.wire.WireClient;
import org.oriolewell.runtime.wire.WireConnection;
import org.oriolewell.runtime.wire.WireServer;

/**
 * Entries and agents of three regions in one JVM, each with its own ConfigService. Real wire
 * connections connect each entry to a bounded number of agents, and carry heartbeats.
 */
final class Fleet implements AutoCloseable {
  private static final int MAX_FRAME_BYTES = WireConnection.DEFAULT_MAX_FRAME_BYTES;
  private static final long HEARTBEAT_MILLIS = 250;
  private static final int FRAME_OVERHEAD_BYTES = 24;

  private final KeyValueStore store;
  private final Random random;
  private final EventLog log = EventLog.of("test", InstantSource.system());
  private final WireClient client = WireClient.start(Duration.ofSeconds(2), MAX_FRAME_BYTES, null);
  private final ScheduledExecutorService heartbeatExecutor =
      Executors.newSingleThreadScheduledExecutor();
  private final ScheduledExecutorService delayExecutor =
      Executors.newSingleThreadScheduledExecutor();
  private final List<Process> entries = new CopyOnWriteArrayList<>();
  private final List<Process> agents = new CopyOnWriteArrayList<>();

  private volatile long regionDelayMillis;

  private Fleet(KeyValueStore store, Random random) {
    this.store = store;
    this.random = random;
  }

  static Fleet start(
      KeyValueStore store, int entryCount, int agentCount, int connectionsPerEntry, long seed)
      throws Exception {
    Fleet fleet = new Fleet(store, new Random(seed));
    for (int i = 0; i < agentCount; i++) {
      fleet.agents.add(fleet.new Process("agent-" + i, region(i), false));
    }
    for (int i = 0; i < entryCount; i++) {
      fleet.entries.add(fleet.new Process("entry-" + i, region(i), true));
    }
    fleet.setKnownEntries();
    for (Process entry : fleet.entries) {
      fleet.connect(entry, connectionsPerEntry);
    }
    fleet.heartbeatExecutor.scheduleAtFixedRate(
        fleet::heartbeat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    return fleet;
  }

  private static String region(int index) {
    return "region-" + index % 3;
  }

  private void setKnownEntries() {
    List<ConfigMember> members = entries.stream().map(entry -> entry.member).toList();
    entries.forEach(entry -> entry.service.knownEntries(members));
  }

  void connect(Process entry, int connectionCount) throws Exception {
    List<Process> shuffledAgents = new ArrayList<>(agents);
    Collections.shuffle(shuffledAgents, random);
    for (Process agent :
        shuffledAgents.subList(0, Math.min(connectionCount, shuffledAgents.size()))) {
      client.connect(agent.address(), entry.new Link()).get(5, TimeUnit.SECONDS);
    }
  }

  private void heartbeat() {
    entries.forEach(
        entry ->
            entry.links.forEach(
                link -> link.send(new Message.Ping(0, entry.service.version(), Load.NONE))));
  }

  /** Sets the one-way latency of messages between regions. */
  void setRegionDelay(Duration delay) {
    regionDelayMillis = delay.toMillis();
  }

  List<Process> entries() {
    return entries;
  }

  List<Process> agents() {
    return agents;
  }

  List<Process> processes() {
    List<Process> processes = new ArrayList<>(entries);
    processes.addAll(agents);
    return processes;
  }

  /** Adds an agent that has no document yet, and connects some entries to it. */
  Process addAgent(int connectionCount) throws Exception {
    Process agent = new Process("agent-" + agents.size(), region(agents.size()), false);
    agents.add(agent);
    for (Process entry : entries.subList(0, Math.min(connectionCount, entries.size()))) {
      client.connect(agent.address(), entry.new Link()).get(5, TimeUnit.SECONDS);
    }
    return agent;
  }

  @Override
  public void close() {
    heartbeatExecutor.shutdownNow();
    delayExecutor.shutdownNow();
    processes().forEach(Process::close);
    client.close();
  }

  /** An entry or agent of the fleet. */
  final class Process implements AutoCloseable {
    final ConfigMember member;
    final ConfigService service;
    final Map<Long, Long> inForceNanosByVersion = new ConcurrentHashMap<>();
    final AtomicLong configBytes = new AtomicLong();
    private final List<Link> links = new CopyOnWriteArrayList<>();
    private final @Nullable WireServer server;

    Process(String name, String region, boolean isEntry) {
      member = new ConfigMember(name, region);
      service =
          ConfigService.start(
              member, isEntry, store, new Random(name.hashCode()), InstantSource.system(), log);
      service.addListener(
          document -> inForceNanosByVersion.put(document.version(), System.nanoTime()));
      server = isEntry ? null : listen();
    }

    private WireServer listen() {
      return WireServer.of(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
              Link::new,
              MAX_FRAME_BYTES,
              null,
              log)
          .start("agents");
    }

    InetSocketAddress address() {
      if (server == null) {
        throw new IllegalStateException("an entry has no address");
      }
      return server.address();
    }

    @Override
    public void close() {
      service.close();
      if (server != null) {
        server.close();
      }
      links.forEach(Link::closeConnection);
    }

    /** One end of a wire connection, on the side of this process. */
    final class Link implements WireConnection.Listener, ConfigPeer {
      private @Nullable WireConnection connection;
      private volatile String region = "";

      @Override
      public void onOpened(WireConnection opened) {
        connection = opened;
        opened.send(
            new Message.Hello(
                1,
                member.name(),
                server == null ? "entry" : "agent",
                "",
                "",
                member.region(),
                service.version(),
                Map.of(),
                Load.NONE));
      }

      @Override
      public void onMessage(WireConnection from, Message message) {
        if (message instanceof Message.Hello hello) {
          region = hello.region();
          links.add(this);
          service.connected(this, hello.configVersion());
        } else if (message instanceof Message.Ping ping) {
          service.versionReceived(this, ping.configVersion());
          send(new Message.Pong(ping.sequence(), service.version(), Load.NONE, Map.of()));
        } else if (message instanceof Message.Pong pong) {
          service.versionReceived(this, pong.configVersion());
        } else {
          configBytes.addAndGet(configBytesOf(message));
          service.received(this, message);
        }
      }

      @Override
      public void onClosed(WireConnection closed, @Nullable Throwable cause) {
        links.remove(this);
        service.disconnected(this);
      }

      @Override
      public String region() {
        return region;
      }

      @Override
      public boolean send(Message message) {
        configBytes.addAndGet(configBytesOf(message));
        WireConnection openConnection = connection;
        if (openConnection == null) {
          return false;
        }
        if (regionDelayMillis == 0 || region.equals(member.region())) {
          return openConnection.send(message);
        }
        delayExecutor.schedule(
            () -> openConnection.send(message), regionDelayMillis, TimeUnit.MILLISECONDS);
        return openConnection.isOpen();
      }

      void closeConnection() {
        WireConnection openConnection = connection;
        if (openConnection != null) {
          openConnection.close();
        }
      }
    }
  }

  /** Returns the size of a configuration message in bytes, with an allowance for its frame. */
  private static long configBytesOf(Message message) {
    if (message instanceof Message.ConfigDelta m) {
      return m.changes().length + FRAME_OVERHEAD_BYTES;
    } else if (message instanceof Message.ConfigSnapshot m) {
      return m.document().length + FRAME_OVERHEAD_BYTES;
    }
    return message instanceof Message.ConfigRequest ? FRAME_OVERHEAD_BYTES : 0;
  }
}
