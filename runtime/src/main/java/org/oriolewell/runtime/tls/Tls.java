package org.oriolewell.runtime.tls;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.log.RuntimeEvent;
import org.oriolewell.runtime.settings.Setting;
import org.oriolewell.runtime.settings.Settings;

/**
 * The TLS configuration of one process, for its servers and clients. Between our processes both
 * sides present a certificate, and a peer without a valid one is refused. Replaced files are
 * reloaded while the process runs; open connections stay open.
 *
 * <p>Example: {@code Optional<Tls> tls = Tls.fromSettings(settings, log);}
 */
public final class Tls implements AutoCloseable {
  /** Path of the file with the process's certificate; empty turns TLS off. */
  public static final Setting<String> CERTIFICATE =
      Setting.string("tls.certificate", "", "PEM file with the certificate; empty for no TLS.");

  /** Path of the file with the process's private key. */
  public static final Setting<String> KEY =
      Setting.string("tls.key", "", "PEM file with the private key, PKCS #8.");

  /** Path of the file with the certificates of the trusted authorities. */
  public static final Setting<String> AUTHORITIES =
      Setting.string("tls.authorities", "", "PEM file with the authorities of trusted peers.");

  private static final Duration RELOAD_CHECK_INTERVAL = Duration.ofSeconds(1);

  private final PemFiles files;
  private final EventLog log;
  private final List<SslContextFactory> contextFactories = new ArrayList<>();
  private final ScheduledExecutorService reloadExecutor =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "tls-reload");
            thread.setDaemon(true);
            return thread;
          });
  private String loadedFingerprint;

  private Tls(PemFiles files, EventLog log) throws IOException {
    this.files = files;
    this.log = log;
    this.loadedFingerprint = files.fingerprint();
    reloadExecutor.scheduleWithFixedDelay(
        this::reloadIfChanged,
        RELOAD_CHECK_INTERVAL.toMillis(),
        RELOAD_CHECK_INTERVAL.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** Returns the settings for TLS, to be included in a program's {@code SettingsSpec}. */
  public static List<Setting<?>> settings() {
    return List.of(CERTIFICATE, KEY, AUTHORITIES);
  }

  /**
   * Returns the TLS configuration from settings, or empty if they name no certificate.
   *
   * @throws IOException if a named file is missing or malformed
   */
  public static Optional<Tls> fromSettings(Settings settings, EventLog log) throws IOException {
    if (settings.value(CERTIFICATE).isEmpty()) {
      return Optional.empty();
    }
    PemFiles files =
        new PemFiles(
            Path.of(settings.value(CERTIFICATE)),
            Path.of(settings.value(KEY)),
            Path.of(settings.value(AUTHORITIES)));
    return Optional.of(of(files, log));
  }

  /**
   * Returns a TLS configuration from PEM files.
   *
   * @throws IOException if a file is missing or malformed
   */
  public static Tls of(PemFiles files, EventLog log) throws IOException {
    return new Tls(files, log);
  }

  /**
   * Returns the TLS context of a server, which is reloaded when the files change.
   *
   * @param requireClientCertificate whether a client without a valid certificate is refused
   */
  public synchronized SslContextFactory.Server server(boolean requireClientCertificate)
      throws IOException {
    SslContextFactory.Server factory = new SslContextFactory.Server();
    factory.setNeedClientAuth(requireClientCertificate);
    factory.setSniRequired(false);
    loadKeyStores(factory);
    contextFactories.add(factory);
    return factory;
  }

  /** Returns the TLS context of a client, which presents the process's certificate to servers. */
  public synchronized SslContextFactory.Client client() throws IOException {
    SslContextFactory.Client factory = new SslContextFactory.Client();
    // Peers are addressed by IP address, so the certificate's signer is checked but not its name.
    factory.setEndpointIdentificationAlgorithm(null);
    loadKeyStores(factory);
    contextFactories.add(factory);
    return factory;
  }

  private void loadKeyStores(SslContextFactory factory) throws IOException {
    factory.setKeyStore(files.identityKeyStore());
    factory.setKeyStorePassword(PemFiles.inMemoryPassword());
    factory.setTrustStore(files.trustStore());
    factory.setTrustStorePassword(PemFiles.inMemoryPassword());
  }

  /** Reloads the files if one was replaced. If they are malformed, the old ones stay in use. */
  synchronized void reloadIfChanged() {
    try {
      String currentFingerprint = files.fingerprint();
      if (currentFingerprint.equals(loadedFingerprint)) {
        return;
      }
      for (SslContextFactory factory : contextFactories) {
        reload(factory);
      }
      loadedFingerprint = currentFingerprint;
      log.event(RuntimeEvent.CERTIFICATES_LOADED).with("file", files.certificates()).write();
    } catch (Exception e) {
      log.event(RuntimeEvent.CERTIFICATES_REFUSED)
          .with("file", files.certificates())
          .cause(e)
          .write();
    }
  }

  private void reload(SslContextFactory factory) throws Exception {
    files.identityKeyStore();
    files.trustStore();
    factory.reload(
        target -> {
          try {
            loadKeyStores(target);
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  @Override
  public void close() {
    reloadExecutor.shutdownNow();
  }
}
