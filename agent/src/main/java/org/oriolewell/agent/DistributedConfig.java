package org.oriolewell.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.runtime.config.ConfigPeer;
import org.oriolewell.runtime.config.ConfigService;
import org.oriolewell.runtime.wire.Message;

/**
 * Receives the configuration from peers, and reads it from the key-value service if they don't
 * deliver a version that they have named.
 */
final class DistributedConfig implements ConfigFeed {
  // Peers send a change within a heartbeat. If the document has not arrived after this time, the
  // agent reads it from the key-value service.
  private static final Duration MAX_TIME_BEHIND = Duration.ofSeconds(1);

  // No command has this id. Searching for it reads the stored document and applies it.
  private static final String NONEXISTENT_COMMAND_ID = "agent-reads-the-store";

  private final ConfigService service;
  private final Loop loop;
  private long newestPeerVersion;
  private int peerCount;
  private @Nullable Instant behindSince;

  DistributedConfig(ConfigService service, Loop loop) {
    this.service = service;
    this.loop = loop;
  }

  @Override
  public ConfigDocument current() {
    return service.current();
  }

  @Override
  public void onChange(Consumer<ConfigDocument> listener) {
    service.addListener(document -> loop.execute(() -> listener.accept(document)));
  }

  @Override
  public void connected(ConfigPeer peer, long peerVersion) {
    peerCount++;
    newestPeerVersion = Math.max(newestPeerVersion, peerVersion);
    service.connected(peer, peerVersion);
  }

  @Override
  public void versionReceived(ConfigPeer peer, long peerVersion) {
    newestPeerVersion = Math.max(newestPeerVersion, peerVersion);
    service.versionReceived(peer, peerVersion);
  }

  @Override
  public boolean received(ConfigPeer peer, Message message) {
    return service.received(peer, message);
  }

  @Override
  public void disconnected(ConfigPeer peer) {
    peerCount--;
    service.disconnected(peer);
  }

  @Override
  public void tick(Instant currentTime) {
    long currentVersion = service.version();
    if (currentVersion >= newestPeerVersion && (currentVersion > 0 || peerCount == 0)) {
      behindSince = null;
    } else if (behindSince == null) {
      behindSince = currentTime;
    } else if (currentTime.isAfter(behindSince.plus(MAX_TIME_BEHIND))) {
      behindSince = currentTime;
      // A failure is ignored: the next attempt follows, and peers continue to send the document.
      service.find(NONEXISTENT_COMMAND_ID).exceptionally(failure -> Optional.empty());
    }
  }

  @Override
  public void close() {
    service.close();
  }
}
