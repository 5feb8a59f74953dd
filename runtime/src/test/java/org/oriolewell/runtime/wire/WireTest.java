package org.oriolewell.runtime.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.log.EventLog;

/**
 * Guards against lost, reordered or wrongly decoded messages, and against a malformed frame that
 * affects connections of other peers.
 */
class WireTest {
  private static final int MAX_FRAME_BYTES = 64 << 10;

  private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
  private final BlockingQueue<Throwable> failures = new LinkedBlockingQueue<>();
  private WireServer server;
  private WireClient client;

  @BeforeEach
  void start() {
    server =
        WireServer.of(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                RecordingListener::new,
                MAX_FRAME_BYTES,
                null,
                EventLog.of("test", InstantSource.system()))
            .start("test");
    client = WireClient.start(Duration.ofSeconds(2), MAX_FRAME_BYTES, null);
  }

  @AfterEach
  void stop() {
    client.close();
    server.close();
  }

  @Test
  void messagesArriveUnchangedAndInOrder() throws Exception {
    Message.Load load = new Message.Load(1, 2, 3, 4, true);
    List<Message> messages =
        List.of(
            new Message.Hello(1, "p", "entry", "", "z", "r", 7, Map.of("s", 3L), load),
            new Message.Start(1, 2),
            new Message.Grant(3),
            new Message.Deny(4),
            new Message.Tokens(5, 6, List.of("a", "b")),
            new Message.Credit(7, 8),
            new Message.Refused(
                9, Message.RefusalKind.OVERLOADED, Message.Outcome.NOT_RUN, "busy", 10, load),
            new Message.Cancel(11),
            new Message.Ping(12, 13, load),
            new Message.Pong(14, 15, load, Map.of()),
            new Message.ConfigRequest(16),
            new Message.Settle(17, "w", "p", 1, "o", "k"),
            new Message.StageSubmit(
                18, "r", 1, "s", "g", "z", 2, -3, 4, 5, List.of(0, 7), "", List.of("10.0.0.1:1/a")),
            new Message.StageResults(18, "s", List.of(0, 7), List.of(0, 1), List.of("h", "")),
            new Message.StageCancel(18, "s", "g"),
            new Message.StageRelease("s", "g", List.of("h")),
            new Message.CapacityReport(List.of("e1"), List.of(25), List.of("e1"), List.of(20_000)),
            new Message.CapacitySums(List.of("e1", "e2"), List.of(25, 0), List.of(-3, 127)),
            new Message.StageLoadReport(
                "s", "r", 2, 280, 30, List.of(1, 2), List.of(500, 1500), List.of(0, 7)),
            new Message.StageAnnounce(19, "s", "g", 2, 60_000, 6),
            new Message.Observation(1, "e1", "g1", 250, 0.5, List.of("r1 a b", "r2 c")),
            new Message.PermitRequest(20, "e1/1700000000000", 2, 0.3, 40),
            new Message.ColdPermitRequest(21, "e1/1700000000000", 2, 9.35),
            new Message.PermitReply(20, false, 900));

    WireConnection connection = client.connect(server.address(), new RecordingListener()).get();
    messages.forEach(connection::send);

    for (Message expected : messages) {
      assertThat(received.poll(5, TimeUnit.SECONDS)).isEqualTo(expected);
    }
  }

  @Test
  void callLargerThanTheReadBufferArrivesComplete() throws Exception {
    byte[] payload = new byte[40_000];
    payload[39_999] = 42;
    Message.Call call =
        new Message.Call(
            1, "id", 0, 0, "w", "f", "p", 5, 1000, "op", true, null, 9, 0, 4, false, payload);

    WireConnection connection = client.connect(server.address(), new RecordingListener()).get();
    connection.send(call);

    Message message = received.poll(5, TimeUnit.SECONDS);
    assertThat(message).isInstanceOf(Message.Call.class);
    assertThat(((Message.Call) message).payload()).isEqualTo(payload);
    assertThat(((Message.Call) message).key()).isNull();
  }

  @Test
  void malformedFrameClosesOnlyItsConnection() throws Exception {
    WireConnection intactConnection =
        client.connect(server.address(), new RecordingListener()).get();
    try (Socket rawSocket =
        new Socket(server.address().getHostString(), server.address().getPort())) {
      OutputStream output = rawSocket.getOutputStream();
      output.write(new byte[] {0, 0, 0, 2, (byte) 0xc1, 1});
      output.flush();
      assertThat(rawSocket.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(failures.poll(5, TimeUnit.SECONDS)).isInstanceOf(WireException.class);

    intactConnection.send(new Message.Grant(1));
    assertThat(received.poll(5, TimeUnit.SECONDS)).isEqualTo(new Message.Grant(1));
  }

  @Test
  void oversizedFrameIsRefusedBeforeItIsRead() throws Exception {
    try (Socket rawSocket =
        new Socket(server.address().getHostString(), server.address().getPort())) {
      rawSocket.getOutputStream().write(new byte[] {0x7f, 0, 0, 0});
      rawSocket.getOutputStream().flush();
      assertThat(rawSocket.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(failures.poll(5, TimeUnit.SECONDS)).hasMessageContaining("the limit is 65536");
  }

  private final class RecordingListener implements WireConnection.Listener {
    @Override
    public void onMessage(WireConnection connection, Message message) {
      received.add(message);
    }

    @Override
    public void onClosed(WireConnection connection, @Nullable Throwable cause) {
      if (cause != null) {
        failures.add(cause);
      }
    }
  }
}
