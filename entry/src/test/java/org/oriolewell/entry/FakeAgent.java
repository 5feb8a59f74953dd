package org.oriolewell.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireConnection;
import org.oriolewell.runtime.wire.WireServer;

/** An agent whose behavior a test scripts message by message. */
final class FakeAgent implements AutoCloseable {
  /** What the agent does with a call or a later message of the entry. */
  @FunctionalInterface
  interface Script {
    void on(FakeAgent agent, WireConnection connection, Message message);
  }

  final String name;
  final Queue<Message> received = new ConcurrentLinkedQueue<>();
  volatile Map<String, Long> shards = Map.of();
  volatile boolean draining;
  volatile boolean silent;
  private final String pool;
  private final WireServer server;
  private volatile Script script;
  private volatile @Nullable WireConnection connection;

  private FakeAgent(String name, String pool, int port, Script script) {
    this.name = name;
    this.pool = pool;
    this.script = script;
    server =
        WireServer.of(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                Listener::new,
                1 << 20,
                null,
                EventLog.of("test", InstantSource.system()))
            .start(name);
  }

  static FakeAgent start(String name, String pool, Script script) {
    return new FakeAgent(name, pool, 0, script);
  }

  void script(Script newScript) {
    script = newScript;
  }

  String address() {
    return "127.0.0.1:" + server.address().getPort();
  }

  Message.Load load() {
    return new Message.Load(0, 0, 8, 0, draining);
  }

  /** Answers a call with JSON. */
  void answer(WireConnection to, long stream, String json) {
    to.send(new Message.Result(stream, json.getBytes(StandardCharsets.UTF_8), 0, load()));
  }

  /** Refuses a call. */
  void refuse(
      WireConnection to,
      long stream,
      Message.RefusalKind kind,
      Message.Outcome outcome,
      String detail) {
    to.send(new Message.Refused(stream, kind, outcome, detail, 0, load()));
  }

  /** Sends a message without being asked. */
  void send(Message message) {
    WireConnection open = connection;
    if (open != null) {
      open.send(message);
    }
  }

  /** Sends a single token at a position. */
  void sendTokens(long stream, long position) {
    send(new Message.Tokens(stream, position, List.of("t" + position)));
  }

  /** Answers a call of the newest connection. */
  void sendAnswer(long stream, String json) {
    send(new Message.Result(stream, json.getBytes(StandardCharsets.UTF_8), 0, load()));
  }

  /** Returns the received messages of a type, in order. */
  <M extends Message> List<M> received(Class<M> type) {
    return received.stream().filter(type::isInstance).map(type::cast).toList();
  }

  /** Cuts the connection as a dying process would. */
  void cut() {
    WireConnection open = connection;
    if (open != null) {
      open.close();
    }
  }

  @Override
  public void close() {
    server.close();
  }

  private final class Listener implements WireConnection.Listener {
    @Override
    public void onOpened(WireConnection opened) {
      connection = opened;
      opened.send(new Message.Hello(1, name, "agent", pool, "z1", "r1", 0, shards, load()));
    }

    @Override
    public void onMessage(WireConnection from, Message message) {
      if (silent) {
        return;
      }
      if (message instanceof Message.Ping ping) {
        from.send(new Message.Pong(ping.sequence(), 0, load(), shards));
        return;
      }
      received.add(message);
      boolean config =
          message instanceof Message.ConfigRequest
              || message instanceof Message.ConfigDelta
              || message instanceof Message.ConfigSnapshot;
      if (!config && !(message instanceof Message.Hello)) {
        script.on(FakeAgent.this, from, message);
      }
    }

    @Override
    public void onClosed(WireConnection closed, @Nullable Throwable cause) {}
  }
}
