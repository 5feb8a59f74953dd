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

/**
 * Guards against connections from peers without a valid certificate, and against replaced
 * certificates that are not used before a restart.
 */
class TlsTest {
  private static final int MAX_FRAME_BYTES = 1 << 16;

  private final EventLog log = EventLog.of("test", InstantSource.system());
  private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
  private static PemFiles serverFiles;
  private static PemFiles clientFiles;

  @BeforeAll
  static void issueCertificates(@TempDir Path folder) throws Exception {
    TestCertificates certificates = new TestCertificates(folder);
    serverFiles = certificates.issue("server");
    clientFiles = certificates.issue("client");
  }

  @Test
  void peersWithCertificatesOfTheAuthorityExchangeMessages() throws Exception {
    try (Tls serverTls = Tls.of(serverFiles, log);
        WireServer wireServer = listen(serverTls)) {
      assertThat(send(wireServer, clientFiles)).isEqualTo(new Message.Grant(1));
    }
  }

  @Test
  void peerOfAnotherAuthorityIsRefused(@TempDir Path otherFolder) throws Exception {
    PemFiles filesOfOtherAuthority = new TestCertificates(otherFolder).issue("stranger");
    PemFiles untrustedClientFiles =
        new PemFiles(
            filesOfOtherAuthority.certificates(),
            filesOfOtherAuthority.key(),
            clientFiles.authorities());
    try (Tls serverTls = Tls.of(serverFiles, log);
        WireServer wireServer = listen(serverTls)) {
      assertThat(trySend(wireServer, untrustedClientFiles)).isNull();
    }
  }

  @Test
  void replacedFilesAreUsedWithoutRestart(@TempDir Path otherFolder) throws Exception {
    TestCertificates authority = new TestCertificates(otherFolder);
    final PemFiles renewedServerFiles = authority.issue("server");
    final PemFiles renewedClientFiles = authority.issue("client");
    PemFiles usedFiles = copy(serverFiles, otherFolder);
    try (Tls serverTls = Tls.of(usedFiles, log);
        WireServer wireServer = listen(serverTls)) {
      replace(renewedServerFiles.certificates(), usedFiles.certificates());
      replace(renewedServerFiles.key(), usedFiles.key());
      replace(renewedServerFiles.authorities(), usedFiles.authorities());
      serverTls.reloadIfChanged();

      assertThat(send(wireServer, renewedClientFiles)).isEqualTo(new Message.Grant(1));
    }
  }

  @Test
  void errorNamesTheMalformedKeyFile(@TempDir Path otherFolder) throws Exception {
    PemFiles malformedFiles = copy(serverFiles, otherFolder);
    Files.writeString(malformedFiles.key(), "nonsense");

    assertThatThrownBy(malformedFiles::identityKeyStore)
        .hasMessageContaining(malformedFiles.key().toString());
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

  private static void replace(Path source, Path target) throws Exception {
    Files.copy(source, target, StandardCopyOption.REPLACE_EXISTING);
  }

  private WireServer listen(Tls tls) throws Exception {
    return WireServer.of(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            RecordingListener::new,
            MAX_FRAME_BYTES,
            tls.server(true),
            log)
        .start("test");
  }

  private @Nullable Message trySend(WireServer wireServer, PemFiles files) throws Exception {
    try {
      return send(wireServer, files);
    } catch (ExecutionException e) {
      return null;
    }
  }

  /** Sends a message to a server and returns what it received, or null if nothing arrived. */
  private @Nullable Message send(WireServer wireServer, PemFiles files) throws Exception {
    try (Tls tls = Tls.of(files, log);
        WireClient wireClient =
            WireClient.start(Duration.ofSeconds(2), MAX_FRAME_BYTES, tls.client())) {
      WireConnection connection =
          wireClient
              .connect(wireServer.address(), new RecordingListener())
              .get(5, TimeUnit.SECONDS);
      connection.send(new Message.Grant(1));
      return received.poll(2, TimeUnit.SECONDS);
    }
  }

  private final class RecordingListener implements WireConnection.Listener {
    @Override
    public void onMessage(WireConnection connection, Message message) {
      received.add(message);
    }

    @Override
    public void onClosed(WireConnection connection, @Nullable Throwable cause) {}
  }
}
