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
 * TLS of one process. Between processes both sides show a certificate, and a peer without a valid
 * one is refused. Replaced files are loaded while the process runs; connections that are open stay.
 *
 * <p>Example: {@code Optional<Tls> tls = Tls.fromSettings(settings, log);}
 */
public final class Tls implements AutoCloseable {
  /** File with the process's certificate; empty turns TLS off. */
  public static final Setting<String> CERTIFICATE =
      Setting.string("tls.certificate", "", "PEM file with the certificate; empty for no TLS.");

  /** File with the process's private key. */
  public static final Setting<String> KEY =
      Setting.string("tls.key", "", "PEM file with the private key, PKCS #8.");

  /** File with the trusted authorities. */
  public static final Setting<String> AUTHORITIES =
      Setting.string("tls.authorities", "", "PEM file with the authorities of trusted peers.");

  private static final Duration RELOAD_INTERVAL = Duration.ofSeconds(1);

  private final PemFiles files;
  private final EventLog log;
  private final List<SslContextFactory> factories = new ArrayList<>();
  private final ScheduledExecutorService reloader =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "tls-reload");
            thread.setDaemon(true);
            return thread;
          });
  private String loaded;

  private Tls(PemFiles files, EventLog log) throws IOException {
    this.files = files;
    this.log = log;
    this.loaded = files.fingerprint();
    reloader.scheduleWithFixedDelay(
        this::reloadIfChanged,
        RELOAD_INTERVAL.toMillis(),
        RELOAD_INTERVAL.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** Returns all settings of TLS, for a program's specification. */
  public static List<Setting<?>> settings() {
    return List.of(CERTIFICATE, KEY, AUTHORITIES);
  }

  /**
   * Returns the TLS that the settings ask for, or empty if they name no certificate.
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
   * Returns TLS from PEM files.
   *
   * @throws IOException if a file is missing or malformed
   */
  public static Tls of(PemFiles files, EventLog log) throws IOException {
    return new Tls(files, log);
  }

  /**
   * Returns the server side.
   *
   * @param requireClientCertificate whether a client without a valid certificate is refused
   */
  public synchronized SslContextFactory.Server server(boolean requireClientCertificate)
      throws IOException {
    SslContextFactory.Server factory = new SslContextFactory.Server();
    factory.setNeedClientAuth(requireClientCertificate);
    factory.setSniRequired(false);
    load(factory);
    factories.add(factory);
    return factory;
  }

  /** Returns the client side, which shows the process's certificate. */
  public synchronized SslContextFactory.Client client() throws IOException {
    SslContextFactory.Client factory = new SslContextFactory.Client();
    // Processes are addressed by IP number, so the authority vouches for the peer, not its name.
    factory.setEndpointIdentificationAlgorithm(null);
    load(factory);
    factories.add(factory);
    return factory;
  }

  private void load(SslContextFactory factory) throws IOException {
    factory.setKeyStore(files.identity());
    factory.setKeyStorePassword(PemFiles.memoryPassword());
    factory.setTrustStore(files.trust());
    factory.setTrustStorePassword(PemFiles.memoryPassword());
  }

  /** Loads the files again if one of them was replaced. Broken files leave the old ones in use. */
  synchronized void reloadIfChanged() {
    try {
      String current = files.fingerprint();
      if (current.equals(loaded)) {
        return;
      }
      for (SslContextFactory factory : factories) {
        reload(factory);
      }
      loaded = current;
      log.event(RuntimeEvent.CERTIFICATES_LOADED).with("file", files.certificates()).write();
    } catch (Exception e) {
      log.event(RuntimeEvent.CERTIFICATES_REFUSED)
          .with("file", files.certificates())
          .cause(e)
          .write();
    }
  }

  private void reload(SslContextFactory factory) throws Exception {
    files.identity();
    files.trust();
    factory.reload(
        target -> {
          try {
            load(target);
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  @Override
  public void close() {
    reloader.shutdownNow();
  }
}
