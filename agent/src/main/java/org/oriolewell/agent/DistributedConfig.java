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

/** The configuration as peers distribute it, with the store as a last resort. */
final class DistributedConfig implements ConfigFeed {
  // Peers push a change within a heartbeat. Without a document after this time the store is read.
  private static final Duration PATIENCE = Duration.ofSeconds(1);

  // No command has this identity, so that looking for it reads the store and adopts its document.
  private static final String NO_COMMAND = "agent-reads-the-store";

  private final ConfigService service;
  private final Loop loop;
  private long newestHeard;
  private int peers;
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
  public void connected(ConfigPeer peer, long version) {
    peers++;
    newestHeard = Math.max(newestHeard, version);
    service.connected(peer, version);
  }

  @Override
  public void versionReceived(ConfigPeer peer, long version) {
    newestHeard = Math.max(newestHeard, version);
    service.versionReceived(peer, version);
  }

  @Override
  public boolean received(ConfigPeer peer, Message message) {
    return service.received(peer, message);
  }

  @Override
  public void disconnected(ConfigPeer peer) {
    peers--;
    service.disconnected(peer);
  }

  @Override
  public void tick(Instant now) {
    long version = service.version();
    if (version >= newestHeard && (version > 0 || peers == 0)) {
      behindSince = null;
    } else if (behindSince == null) {
      behindSince = now;
    } else if (now.isAfter(behindSince.plus(PATIENCE))) {
      behindSince = now;
      // A failure is not reported here: the next attempt follows, and peers go on to distribute.
      service.find(NO_COMMAND).exceptionally(failure -> Optional.empty());
    }
  }

  @Override
  public void close() {
    service.close();
  }
}
