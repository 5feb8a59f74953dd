package org.oriolewell.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireConnection;

/**
 * The connection to one agent, with the calls in flight on it. {@link AgentDirectory} decides when
 * it is opened and closed.
 *
 * <p>An answer to a call that was canceled or forgotten is dropped, and a START of such a call is
 * denied.
 */
final class AgentLink {
  private final String name;
  private final InetSocketAddress address;
  private final LinkContext context;
  private final LinkListener linkListener;
  private final AtomicLong lastStreamId = new AtomicLong();
  private final AtomicLong lastPingSequence = new AtomicLong();
  private final AtomicBoolean connecting = new AtomicBoolean();
  private final Map<Long, CallListener> callListeners = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<Message.Settled>> pendingSettlements =
      new ConcurrentHashMap<>();

  private volatile @Nullable Peer peer;
  private volatile @Nullable WireConnection connection;
  private volatile Instant openedAt = Instant.EPOCH;
  private volatile Instant lastMessageAt = Instant.EPOCH;
  private volatile boolean usable;
  private volatile boolean closed;

  /**
   * A connected agent, with the pool, zone, load and shards that it last reported; shards map to
   * their epochs.
   */
  record Peer(
      AgentPeer agent, String pool, String zone, Message.Load load, Map<String, Long> shards) {
    WireConnection connection() {
      return agent.connection();
    }

    String process() {
      return agent.process();
    }

    String region() {
      return agent.region();
    }

    /** Returns this peer with the load that it reported last. */
    private Peer withLoad(Message.Load newLoad) {
      return new Peer(agent, pool, zone, newLoad, shards);
    }

    /** Returns this peer with the load and the owned shards that its PONG reported. */
    private Peer withPong(Message.Pong pong) {
      return new Peer(agent, pool, zone, pong.load(), pong.shards());
    }
  }

  AgentLink(
      String name, InetSocketAddress address, LinkContext context, LinkListener linkListener) {
    this.name = name;
    this.address = address;
    this.context = context;
    this.linkListener = linkListener;
  }

  /** Returns the name of the agent's host, which is also the name of its upstream. */
  String name() {
    return name;
  }

  /**
   * Returns the host part of the agent's process name, which has the form {@code host-incarnation};
   * the name of this link if the agent isn't connected.
   */
  String host() {
    String process = processName();
    int hostLength = process.lastIndexOf('-');
    return hostLength > 0 ? process.substring(0, hostLength) : name;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Returns the agent if it's connected and has sent HELLO. */
  Optional<Peer> peer() {
    return Optional.ofNullable(peer);
  }

  /** Returns the agent's process name, or an empty string if it isn't connected. */
  String processName() {
    Peer currentPeer = peer;
    return currentPeer == null ? "" : currentPeer.process();
  }

  /** Returns the number of calls that this entry sent to the agent and that have not ended. */
  int callsInFlight() {
    return callListeners.size();
  }

  /** Returns whether the agent takes new calls. */
  boolean usable() {
    return usable && peer != null;
  }

  /** Sets whether the agent is up and neither draining nor leaving. */
  void usable(boolean isUsable) {
    usable = isUsable;
  }

  /**
   * Sends a call to the agent.
   *
   * @param messageFactory creates the message for the given stream id
   * @return the stream id, or empty if the agent isn't connected, in which case nothing was sent
   * @throws IllegalArgumentException if the call exceeds the frame limit
   */
  OptionalLong call(LongFunction<Message.Call> messageFactory, CallListener listener) {
    Peer currentPeer = peer;
    if (currentPeer == null) {
      return OptionalLong.empty();
    }
    long streamId = lastStreamId.incrementAndGet();
    callListeners.put(streamId, listener);
    try {
      if (currentPeer.connection().send(messageFactory.apply(streamId))
          || callListeners.remove(streamId) == null) {
        return OptionalLong.of(streamId);
      }
      return OptionalLong.empty();
    } catch (IllegalArgumentException e) {
      callListeners.remove(streamId);
      throw e;
    }
  }

  /** Sends a message about a call, if the agent is connected. */
  void send(Message message) {
    Peer currentPeer = peer;
    if (currentPeer != null) {
      currentPeer.connection().send(message);
    }
  }

  /** Cancels a call and tells the agent so; later messages about it are dropped. */
  void cancel(long streamId) {
    if (callListeners.remove(streamId) != null) {
      send(new Message.Cancel(streamId));
    }
  }

  /** Drops later messages about a call without telling the agent, which continues to run it. */
  void forget(long streamId) {
    callListeners.remove(streamId);
  }

  /**
   * Asks the agent for the final outcome of an idempotency key; fails if the connection is lost.
   */
  CompletableFuture<Message.Settled> settle(LongFunction<Message.Settle> messageFactory) {
    CompletableFuture<Message.Settled> answer = new CompletableFuture<>();
    Peer currentPeer = peer;
    long settleId = lastStreamId.incrementAndGet();
    pendingSettlements.put(settleId, answer);
    if (currentPeer == null || !currentPeer.connection().send(messageFactory.apply(settleId))) {
      pendingSettlements.remove(settleId);
      answer.completeExceptionally(new IllegalStateException("the agent isn't connected"));
    }
    return answer.whenComplete((settled, failure) -> pendingSettlements.remove(settleId));
  }

  /** Returns when the agent's last message arrived. */
  Instant lastMessageAt() {
    return lastMessageAt;
  }

  /** Opens a connection, unless one is open or being opened. */
  void dial() {
    if (closed || connection != null || !connecting.compareAndSet(false, true)) {
      return;
    }
    context
        .client()
        .connect(address, new Listener())
        .whenComplete(
            (newConnection, failure) -> {
              connecting.set(false);
              if (failure != null) {
                linkListener.disconnected(this);
              }
            });
  }

  /**
   * Returns whether a connection is open on which the agent has sent no HELLO within the timeout.
   */
  boolean hasNoHelloAfter(Duration timeout) {
    return connection != null
        && peer == null
        && openedAt.plus(timeout).isBefore(context.clock().instant());
  }

  /** Sends a heartbeat (PING) with this entry's configuration version. */
  void ping() {
    long configVersion = context.configVersion().getAsLong();
    send(new Message.Ping(lastPingSequence.incrementAndGet(), configVersion, Message.Load.NONE));
  }

  /** Closes the connection; calls in flight are lost. */
  void disconnect() {
    WireConnection openConnection = connection;
    if (openConnection != null) {
      openConnection.close();
    }
  }

  /** Closes the connection; later ones are not opened. */
  void close() {
    closed = true;
    disconnect();
  }

  private final class Listener implements WireConnection.Listener {
    @Override
    public void onOpened(WireConnection newConnection) {
      openedAt = context.clock().instant();
      connection = newConnection;
      newConnection.send(context.hello().get());
      if (closed) {
        newConnection.close();
      }
    }

    @Override
    public void onMessage(WireConnection sender, Message message) {
      if (sender != connection) {
        return; // The connection was closed while its last bytes were being read.
      }
      lastMessageAt = context.clock().instant();
      if (message instanceof Message.Hello hello) {
        handleHello(sender, hello);
      } else if (message instanceof Message.Pong pong) {
        handlePong(pong);
      } else if (message instanceof Message.Start m) {
        if (!deliver(m.stream(), m, false)) {
          sender.send(new Message.Deny(m.stream()));
        }
      } else if (message instanceof Message.Tokens m) {
        deliver(m.stream(), m, false);
      } else if (message instanceof Message.Result m) {
        updateLoad(m.load());
        deliver(m.stream(), m, true);
      } else if (message instanceof Message.Refused m) {
        updateLoad(m.load());
        deliver(m.stream(), m, true);
      } else if (message instanceof Message.Settled m) {
        CompletableFuture<Message.Settled> pendingAnswer = pendingSettlements.remove(m.id());
        if (pendingAnswer != null) {
          pendingAnswer.complete(m);
        }
      } else if (message instanceof Message.Ping m) {
        long configVersion = context.configVersion().getAsLong();
        sender.send(new Message.Pong(m.sequence(), configVersion, Message.Load.NONE, Map.of()));
        peer()
            .ifPresent(
                agentPeer ->
                    context.messages().versionReceived(agentPeer.agent(), m.configVersion()));
      } else {
        peer().ifPresent(agentPeer -> context.messages().received(agentPeer.agent(), message));
      }
    }

    @Override
    public void onClosed(WireConnection closedConnection, @Nullable Throwable cause) {
      handleConnectionLost(cause);
    }
  }

  private void handleHello(WireConnection sender, Message.Hello hello) {
    if (hello.version() != Message.PROTOCOL_VERSION || !hello.role().equals("agent")) {
      context
          .log()
          .event(EntryEvent.AGENT_REFUSED)
          .with("agent", name)
          .with("address", address)
          .with("role", hello.role())
          .with("version", hello.version())
          .write();
      sender.close();
      return;
    }
    AgentPeer agent = new AgentPeer(hello.process(), hello.region(), sender);
    peer = new Peer(agent, hello.pool(), hello.zone(), hello.load(), hello.shards());
    context
        .log()
        .event(EntryEvent.AGENT_CONNECTED)
        .with("agent", name)
        .with("process", hello.process())
        .with("address", address)
        .with("pool", hello.pool())
        .with("zone", hello.zone())
        .write();
    linkListener.connected(this, hello.process(), hello.load());
    context.messages().connected(agent, hello.configVersion());
  }

  private void handlePong(Message.Pong pong) {
    Peer currentPeer = peer;
    if (currentPeer != null) {
      peer = currentPeer.withPong(pong);
      linkListener.loadReported(this, pong.load());
      context.messages().versionReceived(currentPeer.agent(), pong.configVersion());
    }
  }

  private void updateLoad(Message.Load load) {
    Peer currentPeer = peer;
    if (currentPeer != null) {
      peer = currentPeer.withLoad(load);
      linkListener.loadReported(this, load);
    }
  }

  /** Passes a message to the listener of its call; returns false if the call is no longer open. */
  private boolean deliver(long streamId, Message message, boolean endsCall) {
    CallListener listener = endsCall ? callListeners.remove(streamId) : callListeners.get(streamId);
    if (listener == null) {
      context.metrics().countStaleMessage();
      context
          .log()
          .event(EntryEvent.STALE_MESSAGE)
          .with("agent", name)
          .with("stream", streamId)
          .with("message", message.getClass().getSimpleName())
          .write();
      return false;
    }
    listener.onMessage(message);
    return true;
  }

  private void handleConnectionLost(@Nullable Throwable cause) {
    Peer currentPeer = peer;
    peer = null;
    connection = null;
    if (currentPeer != null) {
      context
          .log()
          .event(EntryEvent.AGENT_LOST)
          .with("agent", name)
          .with("process", currentPeer.process())
          .with("reason", cause)
          .write();
      context.messages().disconnected(currentPeer.agent());
    }
    linkListener.disconnected(this);
    String detail = "the connection to " + name + " was lost";
    for (Long streamId : callListeners.keySet()) {
      CallListener listener = callListeners.remove(streamId);
      if (listener != null) {
        listener.onConnectionLost(detail);
      }
    }
    pendingSettlements
        .values()
        .forEach(
            pendingAnswer ->
                pendingAnswer.completeExceptionally(new IllegalStateException(detail)));
  }
}
