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
import org.oriolewell.core.routing.Hashing;
import org.oriolewell.gateway.ControlFeed.Peer;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;
import org.oriolewell.runtime.net.EventLoop;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireConnection;

/**
 * Connections between gateways. Each gateway dials every other one and sends requests on the
 * connection that it dialed; answers and load reports come back on the same connection.
 *
 * <p>Used on the event loop only.
 */
final class PeerMesh {
  /** Interval of heartbeats within a region. */
  private static final Duration HEARTBEAT = Duration.ofMillis(300);

  /** Heartbeats between regions are rarer by this factor, since each byte there is paid for. */
  private static final int REMOTE_HEARTBEAT_FACTOR = 3;

  /** Silence after which a peer is taken as dead: three heartbeats and a round trip. */
  private static final Duration DEAD = Duration.ofMillis(1000);

  /** Largest message: the handles of a request with thousands of pieces fit. */
  private static final int MAX_FRAME_BYTES = 1 << 20;

  private static final String ROLE = "gateway";

  /** Receives what peers say. */
  interface Handler {
    /** Called for a message of a gateway that dialed this one. */
    void onRequest(String origin, WireConnection connection, Message message);

    /** Called when a gateway that dialed this one is gone. */
    void onOriginClosed(String origin);

    /** Called for a message of a gateway that this one dialed. */
    void onAnswer(Message message);

    /** Called when a peer became usable or was lost. */
    void onPeersChanged();
  }

  private final EventLoop loop;
  private final ControlPlane control;
  private final Handler handler;
  private final EventLog log;
  private final Map<String, Link> links = new HashMap<>();
  private final Map<WireConnection, Origin> origins = new HashMap<>();
  private long nextOrigin = 1;
  private long sequence;
  private long beats;
  private boolean draining;

  private final class Link implements WireConnection.Listener {
    private final Peer peer;
    private @Nullable WireConnection connection;
    private boolean dialing;
    private boolean up;
    private boolean leaving;
    private long heardAt;

    private Link(Peer peer) {
      this.peer = peer;
    }

    private boolean usable() {
      return up && !leaving;
    }

    private void dial() {
      dialing = true;
      loop.connect(
          UpstreamClient.parse(peer.address()),
          endPoint -> WireConnection.of(endPoint, loop::execute, this, MAX_FRAME_BYTES),
          failure -> dialing = false);
    }

    @Override
    public void onOpened(WireConnection opened) {
      loop.dispatch(
          () -> {
            dialing = false;
            connection = opened;
            heardAt = loop.now();
            opened.send(hello());
          });
    }

    @Override
    public void onMessage(WireConnection from, Message message) {
      loop.dispatch(() -> received(message));
    }

    private void received(Message message) {
      heardAt = loop.now();
      if (message instanceof Message.Hello hello) {
        leaving = hello.load().draining();
        setUp(true);
      } else if (message instanceof Message.Pong pong) {
        if (leaving != pong.load().draining()) {
          leaving = pong.load().draining();
          handler.onPeersChanged();
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
              setUp(false);
            }
          });
    }

    private void setUp(boolean value) {
      if (up != value) {
        up = value;
        log.event(value ? GatewayEvent.PEER_CONNECTED : GatewayEvent.PEER_LOST)
            .with("peer", peer.name())
            .with("address", peer.address())
            .write();
        handler.onPeersChanged();
      }
    }

    private void beat(boolean remoteTurn) {
      WireConnection open = connection;
      if (open == null) {
        if (!dialing) {
          dial();
        }
        return;
      }
      boolean remote = !peer.region().equals(control.self().region());
      long patience = DEAD.toNanos() * (remote ? REMOTE_HEARTBEAT_FACTOR : 1);
      if (loop.now() - heardAt > patience) {
        open.close();
      } else if (!remote || remoteTurn) {
        open.send(new Message.Ping(sequence++, 0, Message.Load.NONE));
      }
    }

    private void close() {
      WireConnection open = connection;
      if (open != null) {
        open.close();
      }
    }
  }

  /** A gateway that dialed this one. */
  private record Origin(String name, String region) {}

  private final class Incoming implements WireConnection.Listener {
    @Override
    public void onMessage(WireConnection connection, Message message) {
      loop.dispatch(() -> received(connection, message));
    }

    private void received(WireConnection connection, Message message) {
      if (message instanceof Message.Hello hello) {
        origins.put(connection, new Origin(hello.process() + "#" + nextOrigin++, hello.region()));
        connection.send(hello());
      } else if (message instanceof Message.Ping ping) {
        connection.send(new Message.Pong(ping.sequence(), 0, load(), Map.of()));
      } else {
        Origin origin = origins.get(connection);
        if (origin != null) {
          handler.onRequest(origin.name(), connection, message);
        }
      }
    }

    @Override
    public void onClosed(WireConnection connection, @Nullable Throwable cause) {
      loop.execute(
          () -> {
            Origin origin = origins.remove(connection);
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
   * Starts to listen and to dial. The connections belong to the event loop, as all others of a
   * gateway: an acceptor and a client of their own would load TLS and two more thread pools, which
   * is a quarter of the processor time of a start.
   *
   * @throws IOException if the address can't be bound
   */
  static PeerMesh start(
      EventLoop loop, ControlPlane control, Handler handler, String address, EventLog log)
      throws IOException {
    PeerMesh mesh = new PeerMesh(loop, control, handler, log);
    EventLoop.Listener port =
        loop.listen(
            UpstreamClient.parse(address),
            endPoint ->
                WireConnection.of(endPoint, loop::execute, mesh.new Incoming(), MAX_FRAME_BYTES));
    log.event(RuntimeEvent.LISTENING).with("port", "peers").with("address", port.address()).write();
    loop.every(HEARTBEAT, mesh::beat);
    return mesh;
  }

  /**
   * Returns whether this node can dispatch stages. One that has no configuration yet can't; it says
   * so to its peers as one that is leaving does.
   */
  private boolean available() {
    return !draining && control.table() != null;
  }

  private Message.Load load() {
    return new Message.Load(0, 0, 0, 0, !available());
  }

  private Message hello() {
    Peer self = control.self();
    return new Message.Hello(
        Message.PROTOCOL_VERSION,
        self.name(),
        ROLE,
        "",
        self.zone(),
        self.region(),
        0,
        Map.of(),
        load());
  }

  private void beat() {
    boolean remoteTurn = beats++ % REMOTE_HEARTBEAT_FACTOR == 0;
    links.values().forEach(link -> link.beat(remoteTurn));
  }

  /** Follows the list of gateways. */
  void peersListed() {
    Set<String> present = new HashSet<>();
    for (Peer peer : control.peers()) {
      present.add(peer.name());
      Link known = links.get(peer.name());
      if (known == null || !known.peer.equals(peer)) {
        if (known != null) {
          known.close();
        }
        Link link = new Link(peer);
        links.put(peer.name(), link);
        link.dial();
      }
    }
    // An entry may have lapsed while the store was away; a peer that still answers is kept.
    links
        .values()
        .removeIf(
            link -> {
              boolean gone = !present.contains(link.peer.name()) && !link.up;
              if (gone) {
                link.close();
              }
              return gone;
            });
  }

  /**
   * Returns the gateway that dispatches a service's stages in a region: the first by rendezvous
   * hashing among the usable gateways of that region, or of all regions if it has none.
   *
   * @return its name; this node's own name if no other is usable
   */
  String dispatcher(String service, String region) {
    long key = Hashing.of(service + "/" + region);
    String best = best(key, region);
    return best != null ? best : Objects.requireNonNullElse(best(key, null), selfName());
  }

  private String selfName() {
    return control.self().name();
  }

  private @Nullable String best(long key, @Nullable String region) {
    String best = null;
    long bestRank = Long.MIN_VALUE;
    List<Peer> candidates = new ArrayList<>();
    if (available()) {
      candidates.add(control.self());
    }
    links.values().stream().filter(Link::usable).forEach(link -> candidates.add(link.peer));
    for (Peer peer : candidates) {
      long rank = Hashing.rank(key, Hashing.of(peer.name()));
      if ((region == null || peer.region().equals(region)) && (best == null || rank > bestRank)) {
        best = peer.name();
        bestRank = rank;
      }
    }
    return best;
  }

  /** Returns whether a gateway can be reached; this node itself always can. */
  boolean reachable(String name) {
    Link link = links.get(name);
    return name.equals(selfName()) || (link != null && link.up);
  }

  /** Sends a message to a gateway; returns false if it can't be reached. */
  boolean send(String name, Message message) {
    Link link = links.get(name);
    if (link == null || !link.up) {
      return false;
    }
    WireConnection open = link.connection;
    return open != null && open.send(message);
  }

  /** Sends a message to the gateways that dialed this one. */
  void broadcast(Message message, boolean otherRegions) {
    String region = control.self().region();
    origins.forEach(
        (connection, origin) -> {
          if (otherRegions || origin.region().equals(region)) {
            connection.send(message);
          }
        });
  }

  /** Tells the peers that this node takes no more work. */
  void drain() {
    draining = true;
    origins
        .keySet()
        .forEach(connection -> connection.send(new Message.Pong(0, 0, load(), Map.of())));
    handler.onPeersChanged();
  }

  /** Returns the gateways that can be reached, and this one. */
  int size() {
    return 1 + (int) links.values().stream().filter(Link::usable).count();
  }
}
