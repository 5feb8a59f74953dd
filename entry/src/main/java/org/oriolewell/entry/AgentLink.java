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
 * The connection to one agent, with the calls that it carries. {@link AgentDirectory} decides when
 * it is dialed and closed.
 *
 * <p>An answer to a call that was given up reaches nobody, and a START of such a call is denied.
 */
final class AgentLink {
  private final String name;
  private final InetSocketAddress address;
  private final LinkContext context;
  private final LinkEvents events;
  private final AtomicLong streams = new AtomicLong();
  private final AtomicLong pings = new AtomicLong();
  private final AtomicBoolean dialing = new AtomicBoolean();
  private final Map<Long, CallListener> calls = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<Message.Settled>> settles = new ConcurrentHashMap<>();

  private volatile @Nullable Peer peer;
  private volatile @Nullable WireConnection connection;
  private volatile Instant openedAt = Instant.EPOCH;
  private volatile Instant lastHeard = Instant.EPOCH;
  private volatile boolean usable;
  private volatile boolean closed;

  /** An agent that said HELLO, as it last described itself. */
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

    private Peer with(Message.Load newLoad) {
      return new Peer(agent, pool, zone, newLoad, shards);
    }

    private Peer with(Message.Pong pong) {
      return new Peer(agent, pool, zone, pong.load(), pong.shards());
    }
  }

  AgentLink(String name, InetSocketAddress address, LinkContext context, LinkEvents events) {
    this.name = name;
    this.address = address;
    this.context = context;
    this.events = events;
  }

  /** Returns the name of the agent's host, which is also the name of its upstream. */
  String name() {
    return name;
  }

  /**
   * Returns the host that the agent names as its own, from a process name of the form {@code
   * host-incarnation}; before it is connected, the name of this link.
   */
  String host() {
    String process = processName();
    int end = process.lastIndexOf('-');
    return end > 0 ? process.substring(0, end) : name;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Returns the agent if it's connected and has said HELLO. */
  Optional<Peer> peer() {
    return Optional.ofNullable(peer);
  }

  /** Returns the agent's process name, or an empty string if it isn't connected. */
  String processName() {
    Peer known = peer;
    return known == null ? "" : known.process();
  }

  /** Returns the number of this entry's calls that the agent has. */
  int inFlight() {
    return calls.size();
  }

  /** Returns whether the agent takes new calls. */
  boolean usable() {
    return usable && peer != null;
  }

  /** Sets whether the agent is up and neither draining nor leaving. */
  void usable(boolean newValue) {
    usable = newValue;
  }

  /**
   * Sends a call.
   *
   * @param call makes the message from the number of its stream
   * @return the stream, or empty if the agent isn't connected, in which case nothing was sent
   * @throws IllegalArgumentException if the call exceeds the frame limit
   */
  OptionalLong call(LongFunction<Message.Call> call, CallListener listener) {
    Peer known = peer;
    if (known == null) {
      return OptionalLong.empty();
    }
    long stream = streams.incrementAndGet();
    calls.put(stream, listener);
    try {
      if (known.connection().send(call.apply(stream)) || calls.remove(stream) == null) {
        return OptionalLong.of(stream);
      }
      return OptionalLong.empty();
    } catch (IllegalArgumentException e) {
      calls.remove(stream);
      throw e;
    }
  }

  /** Sends a message about a call, if the agent is connected. */
  void send(Message message) {
    Peer known = peer;
    if (known != null) {
      known.connection().send(message);
    }
  }

  /** Gives a call up and tells the agent; later messages of it reach nobody. */
  void cancel(long stream) {
    if (calls.remove(stream) != null) {
      send(new Message.Cancel(stream));
    }
  }

  /** Gives a call up without telling the agent, so that it goes on. */
  void forget(long stream) {
    calls.remove(stream);
  }

  /** Asks for the final outcome of a key; fails if the connection is lost. */
  CompletableFuture<Message.Settled> settle(LongFunction<Message.Settle> question) {
    CompletableFuture<Message.Settled> answer = new CompletableFuture<>();
    Peer known = peer;
    long id = streams.incrementAndGet();
    settles.put(id, answer);
    if (known == null || !known.connection().send(question.apply(id))) {
      settles.remove(id);
      answer.completeExceptionally(new IllegalStateException("the agent isn't connected"));
    }
    return answer.whenComplete((value, failure) -> settles.remove(id));
  }

  /** Returns when the agent's last message arrived. */
  Instant lastHeard() {
    return lastHeard;
  }

  /** Opens a connection, unless one is open or being opened. */
  void dial() {
    if (closed || connection != null || !dialing.compareAndSet(false, true)) {
      return;
    }
    context
        .client()
        .connect(address, new Listener())
        .whenComplete(
            (opened, failure) -> {
              dialing.set(false);
              if (failure != null) {
                events.disconnected(this);
              }
            });
  }

  /** Returns whether a connection is open on which the agent hasn't said HELLO for some time. */
  boolean silentSince(Duration time) {
    return connection != null
        && peer == null
        && openedAt.plus(time).isBefore(context.clock().instant());
  }

  /** Sends a heartbeat. */
  void ping() {
    long version = context.configVersion().getAsLong();
    send(new Message.Ping(pings.incrementAndGet(), version, Message.Load.NONE));
  }

  /** Closes the connection; calls in flight are lost. */
  void disconnect() {
    WireConnection open = connection;
    if (open != null) {
      open.close();
    }
  }

  /** Closes the connection for good. */
  void close() {
    closed = true;
    disconnect();
  }

  private final class Listener implements WireConnection.Listener {
    @Override
    public void onOpened(WireConnection opened) {
      openedAt = context.clock().instant();
      connection = opened;
      opened.send(context.hello().get());
      if (closed) {
        opened.close();
      }
    }

    @Override
    public void onMessage(WireConnection from, Message message) {
      if (from != connection) {
        return; // The connection was closed while its last bytes were being read.
      }
      lastHeard = context.clock().instant();
      if (message instanceof Message.Hello hello) {
        greeted(from, hello);
      } else if (message instanceof Message.Pong pong) {
        ponged(pong);
      } else if (message instanceof Message.Start m) {
        if (!deliver(m.stream(), m, false)) {
          from.send(new Message.Deny(m.stream()));
        }
      } else if (message instanceof Message.Tokens m) {
        deliver(m.stream(), m, false);
      } else if (message instanceof Message.Result m) {
        loaded(m.load());
        deliver(m.stream(), m, true);
      } else if (message instanceof Message.Refused m) {
        loaded(m.load());
        deliver(m.stream(), m, true);
      } else if (message instanceof Message.Settled m) {
        CompletableFuture<Message.Settled> waiting = settles.remove(m.id());
        if (waiting != null) {
          waiting.complete(m);
        }
      } else if (message instanceof Message.Ping m) {
        long version = context.configVersion().getAsLong();
        from.send(new Message.Pong(m.sequence(), version, Message.Load.NONE, Map.of()));
        peer()
            .ifPresent(
                known -> context.messages().versionReceived(known.agent(), m.configVersion()));
      } else {
        peer().ifPresent(known -> context.messages().received(known.agent(), message));
      }
    }

    @Override
    public void onClosed(WireConnection gone, @Nullable Throwable cause) {
      lost(cause);
    }
  }

  private void greeted(WireConnection from, Message.Hello hello) {
    if (hello.version() != Message.PROTOCOL_VERSION || !hello.role().equals("agent")) {
      context
          .log()
          .event(EntryEvent.AGENT_REFUSED)
          .with("agent", name)
          .with("address", address)
          .with("role", hello.role())
          .with("version", hello.version())
          .write();
      from.close();
      return;
    }
    AgentPeer agent = new AgentPeer(hello.process(), hello.region(), from);
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
    events.connected(this, hello.process(), hello.load());
    context.messages().connected(agent, hello.configVersion());
  }

  private void ponged(Message.Pong pong) {
    Peer known = peer;
    if (known != null) {
      peer = known.with(pong);
      events.heard(this, pong.load());
      context.messages().versionReceived(known.agent(), pong.configVersion());
    }
  }

  private void loaded(Message.Load load) {
    Peer known = peer;
    if (known != null) {
      peer = known.with(load);
      events.heard(this, load);
    }
  }

  private boolean deliver(long stream, Message message, boolean last) {
    CallListener listener = last ? calls.remove(stream) : calls.get(stream);
    if (listener == null) {
      context.metrics().stale();
      context
          .log()
          .event(EntryEvent.STALE_MESSAGE)
          .with("agent", name)
          .with("stream", stream)
          .with("message", message.getClass().getSimpleName())
          .write();
      return false;
    }
    listener.onMessage(message);
    return true;
  }

  private void lost(@Nullable Throwable cause) {
    Peer known = peer;
    peer = null;
    connection = null;
    if (known != null) {
      context
          .log()
          .event(EntryEvent.AGENT_LOST)
          .with("agent", name)
          .with("process", known.process())
          .with("reason", cause)
          .write();
      context.messages().disconnected(known.agent());
    }
    events.disconnected(this);
    String detail = "the connection to " + name + " was lost";
    for (Long stream : calls.keySet()) {
      CallListener listener = calls.remove(stream);
      if (listener != null) {
        listener.onLost(detail);
      }
    }
    settles
        .values()
        .forEach(waiting -> waiting.completeExceptionally(new IllegalStateException(detail)));
  }
}
