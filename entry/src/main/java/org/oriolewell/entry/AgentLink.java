package org.oriolewell.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireConnection;

/**
 * The connection to one agent: dials it, keeps it alive with heartbeats, dials again after a
 * failure, and carries calls.
 *
 * <p>An answer to a call that was given up reaches nobody, and a START of such a call is denied.
 */
final class AgentLink {
  private static final Duration FIRST_REDIAL = Duration.ofMillis(100);
  private static final Duration MAX_REDIAL = Duration.ofSeconds(2);

  private final InetSocketAddress address;
  private final LinkContext context;
  private final AtomicLong streams = new AtomicLong();
  private final Map<Long, CallListener> calls = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<Message.Settled>> settles = new ConcurrentHashMap<>();

  private volatile @Nullable Peer peer;
  private volatile boolean leaving;
  private volatile boolean closed;
  private volatile @Nullable WireConnection connection;
  private boolean dialing;
  private int failures;
  private Instant nextDial;
  private Instant nextPing = Instant.EPOCH;
  private Instant lastPong = Instant.EPOCH;
  private long pings;

  /** An agent that said HELLO, as it last described itself. */
  record Peer(
      WireConnection connection,
      String process,
      String pool,
      String zone,
      String region,
      Message.Load load,
      Map<String, Long> shards,
      long configVersion) {
    private Peer with(Message.Load newLoad) {
      return new Peer(connection, process, pool, zone, region, newLoad, shards, configVersion);
    }

    private Peer with(Message.Pong pong) {
      return new Peer(
          connection,
          process,
          pool,
          zone,
          region,
          pong.load(),
          pong.shards(),
          pong.configVersion());
    }
  }

  AgentLink(InetSocketAddress address, LinkContext context) {
    this.address = address;
    this.context = context;
    this.nextDial = context.clock().instant();
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
    Peer known = peer;
    return known != null && !leaving && !known.load().draining();
  }

  /** Sets whether the platform says that the agent's host is about to leave. */
  void leaving(boolean newValue) {
    if (leaving != newValue) {
      leaving = newValue;
      context.changed().run();
    }
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

  /** Dials, sends a heartbeat or finds the agent dead, as is due. Called often by one thread. */
  void tick() {
    Instant now = context.clock().instant();
    WireConnection open;
    boolean dead;
    Message.@Nullable Ping ping = null;
    synchronized (this) {
      open = connection;
      if (open == null) {
        if (!dialing && !closed && !now.isBefore(nextDial)) {
          dialing = true;
        } else {
          return;
        }
      }
      dead = open != null && lastPong.plus(context.dead()).isBefore(now);
      if (!now.isBefore(nextPing)) {
        nextPing = now.plus(context.ping());
        ping = new Message.Ping(++pings, context.configVersion().getAsLong(), Message.Load.NONE);
      }
    }
    if (open == null) {
      dial();
    } else if (dead) {
      context.log().event(EntryEvent.AGENT_DEAD).with("agent", address).write();
      open.close();
    } else if (ping != null) {
      open.send(ping);
    }
  }

  /** Allows the agent the whole dead time again, after this process itself was paused. */
  synchronized void excusePause() {
    lastPong = context.clock().instant();
  }

  private void dial() {
    context
        .client()
        .connect(address, new Listener())
        .whenComplete(
            (opened, failure) -> {
              if (failure != null) {
                synchronized (this) {
                  redialLater();
                }
              }
            });
  }

  private void redialLater() {
    if (!dialing) {
      return;
    }
    dialing = false;
    long longest =
        Math.min(MAX_REDIAL.toMillis(), FIRST_REDIAL.toMillis() << Math.min(failures, 10));
    failures++;
    long delay = longest / 2 + context.random().nextLong(longest / 2 + 1);
    nextDial = context.clock().instant().plusMillis(delay);
  }

  /** Closes the connection for good; calls in flight are lost. */
  void close() {
    WireConnection open;
    synchronized (this) {
      closed = true;
      open = connection;
    }
    if (open != null) {
      open.close();
    }
  }

  private final class Listener implements WireConnection.Listener {
    @Override
    public void onOpened(WireConnection opened) {
      synchronized (AgentLink.this) {
        connection = opened;
        lastPong = context.clock().instant();
        nextPing = lastPong;
      }
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
      } else {
        context.control().onMessage(from, message);
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
          .with("agent", address)
          .with("role", hello.role())
          .with("version", hello.version())
          .write();
      from.close();
      return;
    }
    synchronized (this) {
      failures = 0;
    }
    peer =
        new Peer(
            from,
            hello.process(),
            hello.pool(),
            hello.zone(),
            hello.region(),
            hello.load(),
            hello.shards(),
            hello.configVersion());
    context
        .log()
        .event(EntryEvent.AGENT_CONNECTED)
        .with("agent", hello.process())
        .with("address", address)
        .with("pool", hello.pool())
        .with("zone", hello.zone())
        .write();
    context.changed().run();
  }

  private void ponged(Message.Pong pong) {
    synchronized (this) {
      lastPong = context.clock().instant();
    }
    Peer known = peer;
    if (known == null) {
      return;
    }
    peer = known.with(pong);
    if (!known.shards().equals(pong.shards())
        || known.load().draining() != pong.load().draining()) {
      context.changed().run();
    }
  }

  private void loaded(Message.Load load) {
    Peer known = peer;
    if (known == null) {
      return;
    }
    peer = known.with(load);
    if (known.load().draining() != load.draining()) {
      context.changed().run();
    }
  }

  private boolean deliver(long stream, Message message, boolean last) {
    CallListener listener = last ? calls.remove(stream) : calls.get(stream);
    if (listener == null) {
      context.metrics().stale();
      context
          .log()
          .event(EntryEvent.STALE_MESSAGE)
          .with("agent", address)
          .with("stream", stream)
          .with("message", message.getClass().getSimpleName())
          .write();
      return false;
    }
    listener.onMessage(message);
    return true;
  }

  private void lost(@Nullable Throwable cause) {
    Peer known;
    synchronized (this) {
      connection = null;
      dialing = true;
      redialLater();
      known = peer;
      peer = null;
    }
    if (known != null) {
      context
          .log()
          .event(EntryEvent.AGENT_LOST)
          .with("agent", known.process())
          .with("address", address)
          .with("reason", cause)
          .write();
    }
    context.changed().run();
    String name = known == null ? address.toString() : known.process();
    for (Long stream : calls.keySet()) {
      CallListener listener = calls.remove(stream);
      if (listener != null) {
        listener.onLost("the connection to " + name + " was lost");
      }
    }
    settles
        .values()
        .forEach(
            waiting ->
                waiting.completeExceptionally(
                    new IllegalStateException("the connection to " + name + " was lost")));
  }
}
