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

/** Asks a shard's recorded owner over a connection of its own whether it still owns the shard. */
final class OwnerProbe {
  /** What a probe found. */
  enum Finding {
    /** The owner answered and owns the shard. */
    OWNS,
    /** The recorded process answered, but doesn't list the shard. */
    DOES_NOT_OWN,
    /** The owner did not answer, or another process answers at its address. */
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

  /** Probes an owner; the future never fails. */
  CompletableFuture<Finding> probe(String shard, String owner, String address) {
    CompletableFuture<Finding> finding = new CompletableFuture<>();
    int colon = address.lastIndexOf(':');
    InetSocketAddress target;
    try {
      target =
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      return CompletableFuture.completedFuture(Finding.GONE);
    }
    client
        .connect(target, new Listener(shard, owner, finding))
        .whenComplete(
            (connection, failure) -> {
              if (failure != null) {
                finding.complete(Finding.GONE);
              } else {
                finding.whenComplete((result, none) -> connection.close());
              }
            });
    return finding.completeOnTimeout(Finding.GONE, timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private final class Listener implements WireConnection.Listener {
    private final String shard;
    private final String owner;
    private final CompletableFuture<Finding> finding;

    Listener(String shard, String owner, CompletableFuture<Finding> finding) {
      this.shard = shard;
      this.owner = owner;
      this.finding = finding;
    }

    @Override
    public void onOpened(WireConnection connection) {
      connection.send(hello);
      connection.send(new Message.Ping(1, hello.configVersion(), Message.Load.NONE));
    }

    @Override
    public void onMessage(WireConnection connection, Message message) {
      if (message instanceof Message.Hello peer && !peer.process().equals(owner)) {
        finding.complete(Finding.GONE);
      } else if (message instanceof Message.Pong pong) {
        finding.complete(owns(pong.shards()) ? Finding.OWNS : Finding.DOES_NOT_OWN);
      }
    }

    private boolean owns(Map<String, Long> shards) {
      return shards.containsKey(shard);
    }

    @Override
    public void onClosed(WireConnection connection, @Nullable Throwable cause) {
      finding.complete(Finding.GONE);
    }
  }
}
