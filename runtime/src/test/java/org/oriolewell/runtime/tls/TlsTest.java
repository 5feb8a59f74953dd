package org.oriolewell.runtime.tls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireClient;
import org.oriolewell.runtime.wire.WireConnection;
import org.oriolewell.runtime.wire.WireServer;

/** Guards against peers without a valid certificate, and against certificates that never renew. */
class TlsTest {
  private static final int MAX_FRAME_BYTES = 1 << 16;

  private final EventLog log = EventLog.of("test", InstantSource.system());
  private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
  private static PemFiles server;
  private static PemFiles client;

  @BeforeAll
  static void issue(@TempDir Path folder) throws Exception {
    TestCertificates certificates = new TestCertificates(folder);
    server = certificates.issue("server");
    client = certificates.issue("client");
  }

  @Test
  void peersWithCertificatesOfTheAuthorityTalk() throws Exception {
    try (Tls ours = Tls.of(server, log);
        WireServer listening = listen(ours)) {
      assertThat(send(listening, client)).isEqualTo(new Message.Grant(1));
    }
  }

  @Test
  void peerOfAnotherAuthorityIsRefused(@TempDir Path other) throws Exception {
    PemFiles stranger = new TestCertificates(other).issue("stranger");
    PemFiles mixed = new PemFiles(stranger.certificates(), stranger.key(), client.authorities());
    try (Tls ours = Tls.of(server, log);
        WireServer listening = listen(ours)) {
      assertThat(trySend(listening, mixed)).isNull();
    }
  }

  @Test
  void replacedFilesAreUsedWithoutRestart(@TempDir Path other) throws Exception {
    TestCertificates authority = new TestCertificates(other);
    final PemFiles renewed = authority.issue("server");
    final PemFiles newClient = authority.issue("client");
    PemFiles own = copy(server, other);
    try (Tls ours = Tls.of(own, log);
        WireServer listening = listen(ours)) {
      replace(renewed.certificates(), own.certificates());
      replace(renewed.key(), own.key());
      replace(renewed.authorities(), own.authorities());
      ours.reloadIfChanged();

      assertThat(send(listening, newClient)).isEqualTo(new Message.Grant(1));
    }
  }

  @Test
  void malformedKeyIsNamed(@TempDir Path other) throws Exception {
    PemFiles broken = copy(server, other);
    Files.writeString(broken.key(), "nonsense");

    assertThatThrownBy(broken::identity).hasMessageContaining(broken.key().toString());
  }

  private static PemFiles copy(PemFiles files, Path folder) throws Exception {
    PemFiles copy =
        new PemFiles(
            folder.resolve("own.pem"), folder.resolve("own.key"), folder.resolve("own-ca.pem"));
    replace(files.certificates(), copy.certificates());
    replace(files.key(), copy.key());
    replace(files.authorities(), copy.authorities());
    return copy;
  }

  private static void replace(Path from, Path to) throws Exception {
    Files.copy(from, to, StandardCopyOption.REPLACE_EXISTING);
  }

  private WireServer listen(Tls tls) throws Exception {
    return WireServer.of(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            Recorder::new,
            MAX_FRAME_BYTES,
            tls.server(true),
            log)
        .start("test");
  }

  private @Nullable Message trySend(WireServer listening, PemFiles files) throws Exception {
    try {
      return send(listening, files);
    } catch (ExecutionException e) {
      return null;
    }
  }

  /** Sends a message and returns what the server received, or null after a second. */
  private @Nullable Message send(WireServer listening, PemFiles files) throws Exception {
    try (Tls tls = Tls.of(files, log);
        WireClient dialer =
            WireClient.start(Duration.ofSeconds(2), MAX_FRAME_BYTES, tls.client())) {
      WireConnection connection =
          dialer.connect(listening.address(), new Recorder()).get(5, TimeUnit.SECONDS);
      connection.send(new Message.Grant(1));
      return received.poll(2, TimeUnit.SECONDS);
    }
  }

  private final class Recorder implements WireConnection.Listener {
    @Override
    public void onMessage(WireConnection connection, Message message) {
      received.add(message);
    }

    @Override
    public void onClosed(WireConnection connection, @Nullable Throwable cause) {}
  }
}
