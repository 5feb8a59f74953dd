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

/** Stand-in for an agent whose replies to the entry's messages a test scripts. */
final class FakeAgent implements AutoCloseable {
  /** Called for each message about a call that the agent receives from the entry. */
  @FunctionalInterface
  interface Script {
    void on(FakeAgent agent, WireConnection connection, Message message);
  }

  final String name;
  final Queue<Message> received = new ConcurrentLinkedQueue<>();

  /** Shards that the agent reports owning, each with its epoch. */
  volatile Map<String, Long> shards = Map.of();

  volatile boolean draining;

  /** Whether the agent ignores all messages, as a hanging process does. */
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

  /** Sends the result of a call, with a JSON payload. */
  void answer(WireConnection to, long streamId, String json) {
    to.send(new Message.Result(streamId, json.getBytes(StandardCharsets.UTF_8), 0, load()));
  }

  /** Sends a refusal of a call. */
  void refuse(
      WireConnection to,
      long streamId,
      Message.RefusalKind kind,
      Message.Outcome outcome,
      String detail) {
    to.send(new Message.Refused(streamId, kind, outcome, detail, 0, load()));
  }

  /** Sends a message on the newest connection, if one is open. */
  void send(Message message) {
    WireConnection newest = connection;
    if (newest != null) {
      newest.send(message);
    }
  }

  /** Sends one token, at a position of a call's stream, on the newest connection. */
  void sendTokens(long streamId, long position) {
    send(new Message.Tokens(streamId, position, List.of("t" + position)));
  }

  /** Sends the result of a call on the newest connection. */
  void sendAnswer(long streamId, String json) {
    send(new Message.Result(streamId, json.getBytes(StandardCharsets.UTF_8), 0, load()));
  }

  /** Returns the received messages of a type, in order of arrival. */
  <M extends Message> List<M> received(Class<M> type) {
    return received.stream().filter(type::isInstance).map(type::cast).toList();
  }

  /** Closes the newest connection, as happens when the agent's process is killed. */
  void disconnect() {
    WireConnection newest = connection;
    if (newest != null) {
      newest.close();
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
      boolean isConfigMessage =
          message instanceof Message.ConfigRequest
              || message instanceof Message.ConfigDelta
              || message instanceof Message.ConfigSnapshot;
      if (!isConfigMessage && !(message instanceof Message.Hello)) {
        script.on(FakeAgent.this, from, message);
      }
    }

    @Override
    public void onClosed(WireConnection closed, @Nullable Throwable cause) {}
  }
}
