package org.oriolewell.agent;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireClient;
import org.oriolewell.runtime.wire.WireConnection;

/** Asks a shard's recorded owner, over a separate connection, whether it still owns the shard. */
final class OwnerProbe {
  /** What a probe found out about a shard's recorded owner. */
  enum Finding {
    /** The recorded owner answered and owns the shard. */
    OWNS,
    /** The recorded owner answered, but doesn't list the shard as owned. */
    DOES_NOT_OWN,
    /** The recorded owner did not answer, or another process answered at its address. */
    GONE
  }

  private final WireClient client;
  private final Duration timeout;
  private final Message.Hello hello;

  OwnerProbe(WireClient client, Duration timeout, Message.Hello hello) {
    this.client = client;
    this.timeout = timeout;
    this.hello = hello;
  }

  /**
   * Probes the recorded owner of a shard; the future never fails.
   *
   * @param recordedOwner process id of the owner in the shard's record
   * @param ownerAddress address of that process, as host and port
   */
  CompletableFuture<Finding> probe(String shard, String recordedOwner, String ownerAddress) {
    CompletableFuture<Finding> finding = new CompletableFuture<>();
    int portSeparator = ownerAddress.lastIndexOf(':');
    InetSocketAddress socketAddress;
    try {
      socketAddress =
          new InetSocketAddress(
              ownerAddress.substring(0, portSeparator),
              Integer.parseInt(ownerAddress.substring(portSeparator + 1)));
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      return CompletableFuture.completedFuture(Finding.GONE);
    }
    client
        .connect(socketAddress, new ProbeListener(shard, recordedOwner, finding))
        .whenComplete(
            (connection, failure) -> {
              if (failure != null) {
                finding.complete(Finding.GONE);
              } else {
                finding.whenComplete((result, ignored) -> connection.close());
              }
            });
    return finding.completeOnTimeout(Finding.GONE, timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private final class ProbeListener implements WireConnection.Listener {
    private final String shard;
    private final String recordedOwner;
    private final CompletableFuture<Finding> finding;

    ProbeListener(String shard, String recordedOwner, CompletableFuture<Finding> finding) {
      this.shard = shard;
      this.recordedOwner = recordedOwner;
      this.finding = finding;
    }

    @Override
    public void onOpened(WireConnection connection) {
      connection.send(hello);
      connection.send(new Message.Ping(1, hello.configVersion(), Message.Load.NONE));
    }

    @Override
    public void onMessage(WireConnection connection, Message message) {
      if (message instanceof Message.Hello peerHello
          && !peerHello.process().equals(recordedOwner)) {
        finding.complete(Finding.GONE);
      } else if (message instanceof Message.Pong pong) {
        finding.complete(owns(pong.shards()) ? Finding.OWNS : Finding.DOES_NOT_OWN);
      }
    }

    private boolean owns(Map<String, Long> ownedShards) {
      return ownedShards.containsKey(shard);
    }

    @Override
    public void onClosed(WireConnection connection, @Nullable Throwable cause) {
      finding.complete(Finding.GONE);
    }
  }
}
