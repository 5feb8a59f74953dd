package org.oriolewell.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.roster.Ipv4SocketAddress;
import org.oriolewell.core.routing.Hashing;
import org.oriolewell.gateway.ControlFeed.Peer;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireConnection;

/**
 * Connections between gateways. Each gateway connects to every other one and sends requests on the
 * connection that it opened; answers and load reports come back on the same connection.
 *
 * <p>Used on the event loop only.
 */
final class PeerMesh {
  /** Interval of heartbeats within a region. */
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(300);

  /**
   * Factor by which heartbeats and time-outs between regions are longer, since that traffic costs
   * money.
   */
  private static final int REMOTE_HEARTBEAT_FACTOR = 3;

  /**
   * Time without a message after which a peer counts as dead: three heartbeats and a round trip.
   */
  private static final Duration PEER_TIMEOUT = Duration.ofMillis(1000);

  /** Largest message; the handles of a request with thousands of pieces fit into it. */
  private static final int MAX_FRAME_BYTES = 1 << 20;

  private static final String GATEWAY_ROLE = "gateway";

  /** Receives the messages of other gateways and changes of their availability. */
  interface Handler {
    /**
     * Called for a message of a gateway that connected to this one.
     *
     * @param origin name of that connection, unique for each connection
     */
    void onRequest(String origin, WireConnection connection, Message message);

    /** Called when a connection that another gateway opened is closed. */
    void onOriginClosed(String origin);

    /** Called for a message on a connection that this gateway opened. */
    void onAnswer(Message message);

    /** Called when a peer becomes usable, drains or is lost. */
    void onPeersChanged();
  }

  /** Exchanges observations with the other gateways. */
  interface ObservationListener {
    /** Called for an observation of another gateway. */
    void onObservation(Message.Observation observation);

    /** Returns the observations of this gateway that a gateway needs which has just connected. */
    List<Message.Observation> currentObservations();
  }

  /** Receives requests for permits, and the answers to those of this gateway. */
  interface PermitListener {
    /** Called for a request of a gateway that connected to this one. */
    void onPermitRequest(WireConnection connection, Message.PermitRequest request);

    /** Called for a request for a permit for a cold upstream. */
    void onColdPermitRequest(WireConnection connection, Message.ColdPermitRequest request);

    /** Called for an answer. */
    void onPermitReply(Message.PermitReply reply);
  }

  /** Receives what gateways tell about the capacity of upstreams. */
  interface CapacityListener {
    /** Called for a report of a gateway that connected to this one. */
    void onReport(String origin, Message.CapacityReport report);

    /** Called for sums of a gateway that this one connected to. */
    void onSums(String sender, Message.CapacitySums sums);
  }

  private final EventLoop loop;
  private final ControlPlane control;
  private final Handler handler;
  private @Nullable ObservationListener observationListener;
  private @Nullable PermitListener permitListener;
  private @Nullable CapacityListener capacityListener;
  private final EventLog log;
  private final Map<String, Link> linksByName = new HashMap<>();
  private final Map<WireConnection, Origin> originsByConnection = new HashMap<>();
  private long nextOriginNumber = 1;
  private long pingSequence;
  private long heartbeatCount;
  private boolean draining;

  /** The connection that this gateway opens to one peer. */
  private final class Link implements WireConnection.Listener {
    private final Peer peer;
    private @Nullable WireConnection connection;
    private boolean connecting;
    private boolean connected;
    private boolean peerDraining;
    private long lastMessageAt;

    private Link(Peer peer) {
      this.peer = peer;
    }

    private boolean usable() {
      return connected && !peerDraining;
    }

    private void connect() {
      connecting = true;
      loop.connect(
          UpstreamClient.toInetSocketAddress(peer.address()),
          endPoint -> WireConnection.of(endPoint, loop::execute, this, MAX_FRAME_BYTES),
          failure -> connecting = false);
    }

    @Override
    public void onOpened(WireConnection opened) {
      loop.dispatch(
          () -> {
            connecting = false;
            connection = opened;
            lastMessageAt = loop.now();
            opened.send(hello());
          });
    }

    @Override
    public void onMessage(WireConnection from, Message message) {
      loop.dispatch(() -> received(message));
    }

    private void received(Message message) {
      lastMessageAt = loop.now();
      if (message instanceof Message.Hello hello) {
        peerDraining = hello.load().draining();
        setConnected(true);
      } else if (message instanceof Message.Pong pong) {
        if (peerDraining != pong.load().draining()) {
          peerDraining = pong.load().draining();
          handler.onPeersChanged();
        }
      } else if (message instanceof Message.Observation observation) {
        receivedObservation(observation);
      } else if (message instanceof Message.PermitReply reply) {
        PermitListener currentListener = permitListener;
        if (currentListener != null) {
          currentListener.onPermitReply(reply);
        }
      } else if (message instanceof Message.CapacitySums sums) {
        CapacityListener currentListener = capacityListener;
        if (currentListener != null) {
          currentListener.onSums(peer.name(), sums);
        }
      } else {
        handler.onAnswer(message);
      }
    }

    @Override
    public void onClosed(WireConnection closed, @Nullable Throwable cause) {
      loop.execute(
          () -> {
            if (connection == closed) {
              connection = null;
              setConnected(false);
            }
          });
    }

    private void setConnected(boolean nowConnected) {
      if (connected != nowConnected) {
        connected = nowConnected;
        log.event(nowConnected ? GatewayEvent.PEER_CONNECTED : GatewayEvent.PEER_LOST)
            .with("peer", peer.name())
            .with("address", peer.address())
            .write();
        handler.onPeersChanged();
      }
    }

    private void sendHeartbeat(boolean remoteDue) {
      WireConnection openConnection = connection;
      if (openConnection == null) {
        if (!connecting) {
          connect();
        }
        return;
      }
      boolean otherRegion = !peer.region().equals(control.self().region());
      long timeout = PEER_TIMEOUT.toNanos() * (otherRegion ? REMOTE_HEARTBEAT_FACTOR : 1);
      if (loop.now() - lastMessageAt > timeout) {
        openConnection.close();
      } else if (!otherRegion || remoteDue) {
        openConnection.send(new Message.Ping(pingSequence++, 0, Message.Load.NONE));
      }
    }

    private void close() {
      WireConnection openConnection = connection;
      if (openConnection != null) {
        openConnection.close();
      }
    }
  }

  /** Identifies a connection that another gateway opened, and the region of that gateway. */
  private record Origin(String name, String region) {}

  /** Handles the connections that other gateways open. */
  private final class IncomingListener implements WireConnection.Listener {
    @Override
    public void onMessage(WireConnection connection, Message message) {
      loop.dispatch(() -> received(connection, message));
    }

    private void received(WireConnection connection, Message message) {
      if (message instanceof Message.Hello hello) {
        originsByConnection.put(
            connection, new Origin(hello.process() + "#" + nextOriginNumber++, hello.region()));
        connection.send(hello());
        ObservationListener currentListener = observationListener;
        if (currentListener != null) {
          currentListener.currentObservations().forEach(connection::send);
        }
      } else if (message instanceof Message.Ping ping) {
        connection.send(new Message.Pong(ping.sequence(), 0, ownLoad(), Map.of()));
      } else if (message instanceof Message.Observation observation) {
        receivedObservation(observation);
      } else if (message instanceof Message.PermitRequest request) {
        PermitListener currentListener = permitListener;
        if (currentListener != null) {
          currentListener.onPermitRequest(connection, request);
        }
      } else if (message instanceof Message.ColdPermitRequest request) {
        PermitListener currentListener = permitListener;
        if (currentListener != null) {
          currentListener.onColdPermitRequest(connection, request);
        }
      } else {
        Origin origin = originsByConnection.get(connection);
        CapacityListener currentListener = capacityListener;
        if (origin != null && message instanceof Message.CapacityReport report) {
          if (currentListener != null) {
            currentListener.onReport(origin.name(), report);
          }
        } else if (origin != null) {
          handler.onRequest(origin.name(), connection, message);
        }
      }
    }

    @Override
    public void onClosed(WireConnection connection, @Nullable Throwable cause) {
      loop.execute(
          () -> {
            Origin origin = originsByConnection.remove(connection);
            if (origin != null) {
              handler.onOriginClosed(origin.name());
            }
          });
    }
  }

  private PeerMesh(EventLoop loop, ControlPlane control, Handler handler, EventLog log) {
    this.loop = loop;
    this.control = control;
    this.handler = handler;
    this.log = log;
  }

  /**
   * Starts to listen for other gateways and to connect to them. The connections run on the event
   * loop of the gateway: a server and a client of their own would load TLS and two more thread
   * pools, which takes a quarter of the processor time of a start.
   *
   * @throws IOException if the address can't be bound
   */
  static PeerMesh start(
      EventLoop loop, ControlPlane control, Handler handler, String address, EventLog log)
      throws IOException {
    PeerMesh mesh = new PeerMesh(loop, control, handler, log);
    EventLoop.Listener peerListener =
        loop.listen(
            UpstreamClient.toInetSocketAddress(Ipv4SocketAddress.parseBindAddress(address)),
            endPoint ->
                WireConnection.of(
                    endPoint, loop::execute, mesh.new IncomingListener(), MAX_FRAME_BYTES));
    log.event(RuntimeEvent.LISTENING)
        .with("port", "peers")
        .with("address", peerListener.address())
        .write();
    loop.every(HEARTBEAT_INTERVAL, mesh::sendHeartbeats);
    return mesh;
  }

  /** Sets the receiver of other gateways' observations. */
  void observationListener(ObservationListener listener) {
    observationListener = listener;
  }

  /** Sets the receiver of messages about permits. */
  void permitListener(PermitListener listener) {
    permitListener = listener;
  }

  /** Sets the receiver of messages about the capacity of upstreams. */
  void capacityListener(CapacityListener listener) {
    capacityListener = listener;
  }

  private void receivedObservation(Message.Observation observation) {
    ObservationListener currentListener = observationListener;
    if (currentListener != null) {
      currentListener.onObservation(observation);
    }
  }

  /**
   * Returns whether this gateway can dispatch stages. A gateway without a configuration can't; it
   * reports itself to its peers as draining.
   */
  private boolean available() {
    return !draining && control.table() != null;
  }

  private Message.Load ownLoad() {
    return new Message.Load(0, 0, 0, 0, !available());
  }

  private Message hello() {
    Peer self = control.self();
    return new Message.Hello(
        Message.PROTOCOL_VERSION,
        self.name(),
        GATEWAY_ROLE,
        "",
        self.zone(),
        self.region(),
        0,
        Map.of(),
        ownLoad());
  }

  private void sendHeartbeats() {
    boolean remoteDue = heartbeatCount++ % REMOTE_HEARTBEAT_FACTOR == 0;
    linksByName.values().forEach(link -> link.sendHeartbeat(remoteDue));
  }

  /** Connects to newly listed gateways and drops those that are neither listed nor connected. */
  void updatePeers() {
    Set<String> listedNames = new HashSet<>();
    for (Peer peer : control.peers()) {
      listedNames.add(peer.name());
      Link existing = linksByName.get(peer.name());
      if (existing == null || !existing.peer.equals(peer)) {
        if (existing != null) {
          existing.close();
        }
        Link link = new Link(peer);
        linksByName.put(peer.name(), link);
        link.connect();
      }
    }
    // An entry may have expired while the store was unreachable; a connected peer is kept.
    linksByName
        .values()
        .removeIf(
            link -> {
              boolean removed = !listedNames.contains(link.peer.name()) && !link.connected;
              if (removed) {
                link.close();
              }
              return removed;
            });
  }

  /**
   * Returns the gateway that dispatches a service's stages in a region: the first by rendezvous
   * hashing among the usable gateways of that region, or of all regions if it has none.
   *
   * @return its name; the name of this gateway if no other is usable
   */
  String dispatcherName(String service, String region) {
    long hashKey = Hashing.of(service + "/" + region);
    String bestName = highestRankedName(hashKey, region);
    return bestName != null
        ? bestName
        : Objects.requireNonNullElse(highestRankedName(hashKey, null), selfName());
  }

  /**
   * Returns the gateway that issues the permits for an upstream: the first by rendezvous hashing
   * among the usable gateways of the upstream's region. Gateways of other regions issue permits
   * only if the region has none: those that are cut off from it must not issue permits of their
   * own.
   *
   * @param region region of the upstream
   * @return its name; null if the region has gateways but none of them is usable
   */
  @Nullable String issuerName(String upstream, String region) {
    long hashKey = Hashing.of(upstream);
    String bestName = highestRankedName(hashKey, region);
    if (bestName != null) {
      return bestName;
    }
    boolean regionHasGateways =
        control.peers().stream().anyMatch(peer -> peer.region().equals(region));
    return regionHasGateways ? null : highestRankedName(hashKey, null);
  }

  private String selfName() {
    return control.self().name();
  }

  private @Nullable String highestRankedName(long hashKey, @Nullable String region) {
    String bestName = null;
    long bestHash = Long.MIN_VALUE;
    List<Peer> candidates = new ArrayList<>();
    if (available()) {
      candidates.add(control.self());
    }
    linksByName.values().stream().filter(Link::usable).forEach(link -> candidates.add(link.peer));
    for (Peer peer : candidates) {
      long hash = Hashing.rank(hashKey, Hashing.of(peer.name()));
      if ((region == null || peer.region().equals(region))
          && (bestName == null || hash > bestHash)) {
        bestName = peer.name();
        bestHash = hash;
      }
    }
    return bestName;
  }

  /**
   * Returns whether more than half of a region's known gateways are usable from here, or of all
   * known gateways if the region has none. At most one side of a network partition has them.
   * Gateways that have connected to this one count as known, since a gateway that has just started
   * may have read an incomplete list.
   */
  boolean majorityUsable(String region) {
    Map<String, String> regionByName = new HashMap<>();
    control.peers().forEach(peer -> regionByName.put(peer.name(), peer.region()));
    linksByName.values().forEach(link -> regionByName.put(link.peer.name(), link.peer.region()));
    originsByConnection
        .values()
        .forEach(
            origin ->
                regionByName.put(
                    origin.name().substring(0, origin.name().lastIndexOf('#')), origin.region()));
    regionByName.put(selfName(), control.self().region());
    boolean regionHasGateways = regionByName.containsValue(region);
    int known = 0;
    int usable = 0;
    for (Map.Entry<String, String> gateway : regionByName.entrySet()) {
      if (!regionHasGateways || gateway.getValue().equals(region)) {
        known++;
        Link link = linksByName.get(gateway.getKey());
        boolean self = gateway.getKey().equals(selfName());
        usable += self ? (available() ? 1 : 0) : (link != null && link.usable() ? 1 : 0);
      }
    }
    return usable * 2 > known;
  }

  /** Returns whether a gateway is connected; true for this gateway itself. */
  boolean reachable(String name) {
    Link link = linksByName.get(name);
    return name.equals(selfName()) || (link != null && link.connected);
  }

  /** Sends a message to a gateway; returns false if it isn't connected. */
  boolean send(String name, Message message) {
    Link link = linksByName.get(name);
    if (link == null || !link.connected) {
      return false;
    }
    WireConnection openConnection = link.connection;
    return openConnection != null && openConnection.send(message);
  }

  /**
   * Sends a message to the gateways that are connected to this one.
   *
   * @param includeOtherRegions whether gateways of other regions get it, too
   */
  void broadcast(Message message, boolean includeOtherRegions) {
    String region = control.self().region();
    originsByConnection.forEach(
        (connection, origin) -> {
          if (includeOtherRegions || origin.region().equals(region)) {
            connection.send(message);
          }
        });
  }

  /** Tells the peers that this gateway dispatches no more work. */
  void drain() {
    draining = true;
    originsByConnection
        .keySet()
        .forEach(connection -> connection.send(new Message.Pong(0, 0, ownLoad(), Map.of())));
    handler.onPeersChanged();
  }

  /** Returns the number of usable gateways, including this one. */
  int usableGatewayCount() {
    return 1 + (int) linksByName.values().stream().filter(Link::usable).count();
  }
}
