package org.oriolewell.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireClient;
import org.oriolewell.runtime.wire.WireConnection;

/** Test double of an entry: its side of a wire connection to an agent. */
final class TestEntry implements WireConnection.Listener, AutoCloseable {
  private static final long TIMEOUT_SECONDS = 10;

  private final WireClient client = WireClient.start(Duration.ofSeconds(2), 1 << 20, null);
  private final BlockingQueue<Message> receivedMessages = new LinkedBlockingQueue<>();
  private final CountDownLatch closedLatch = new CountDownLatch(1);
  private final WireConnection connection;

  private TestEntry(InetSocketAddress agentAddress) throws Exception {
    connection = client.connect(agentAddress, this).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  static TestEntry connect(InetSocketAddress agentAddress) throws Exception {
    TestEntry entry = connectWithoutHello(agentAddress);
    entry.send(
        new Message.Hello(
            Message.PROTOCOL_VERSION,
            "entry-1",
            "entry",
            "",
            "z1",
            "r1",
            0,
            Map.of(),
            Message.Load.NONE));
    assertThat(entry.nextMessage(Message.Hello.class).role()).isEqualTo("agent");
    return entry;
  }

  /** Connects without sending the HELLO message that the protocol requires first. */
  static TestEntry connectWithoutHello(InetSocketAddress agentAddress) throws Exception {
    return new TestEntry(agentAddress);
  }

  @Override
  public void onMessage(WireConnection from, Message message) {
    if (message instanceof Message.Ping ping) {
      from.send(new Message.Pong(ping.sequence(), 0, Message.Load.NONE, Map.of()));
    } else if (!isConfigMessage(message)) {
      receivedMessages.add(message);
    }
  }

  private static boolean isConfigMessage(Message message) {
    return message instanceof Message.ConfigRequest
        || message instanceof Message.ConfigDelta
        || message instanceof Message.ConfigSnapshot;
  }

  @Override
  public void onClosed(WireConnection from, @Nullable Throwable cause) {
    closedLatch.countDown();
  }

  void send(Message message) {
    connection.send(message);
  }

  /** Waits for the next unread message, which must be of the given type. */
  <T extends Message> T nextMessage(Class<T> type) throws InterruptedException {
    Message message = receivedMessages.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertThat(message).isInstanceOf(type);
    return type.cast(message);
  }

  /** Returns whether all received messages have been read. */
  boolean hasNoUnreadMessages() {
    return receivedMessages.isEmpty();
  }

  /** Waits until the agent closes the connection; returns false after a timeout. */
  boolean awaitClosed() throws InterruptedException {
    return closedLatch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  static Message.Call idempotentCall(long stream, long remainingMillis) {
    return call(stream, remainingMillis, true, null, false, 0, 0);
  }

  static Message.Call streamingCall(long stream, int credits, long resumeFrom) {
    return call(stream, 10_000, true, null, true, credits, resumeFrom);
  }

  static Message.Call nonIdempotentCall(long stream, long remainingMillis, String key) {
    return call(stream, remainingMillis, false, key, false, 0, 0);
  }

  private static Message.Call call(
      long stream,
      long remainingMillis,
      boolean idempotent,
      @Nullable String key,
      boolean streaming,
      int credits,
      long resumeFrom) {
    return new Message.Call(
        stream,
        "request-" + stream,
        0,
        0,
        "workspace-1",
        "firm-1",
        "pipeline-1",
        5,
        remainingMillis,
        "operation-1",
        idempotent,
        key,
        7,
        resumeFrom,
        credits,
        streaming,
        "{\"input\":{\"prompt\":\"p\",\"model\":\"m\"},\"context\":null}"
            .getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void close() {
    connection.close();
    client.close();
  }
}
