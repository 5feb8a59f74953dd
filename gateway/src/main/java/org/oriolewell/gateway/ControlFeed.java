package org.oriolewell.gateway;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.route.RouteTable;

/**
 * The configuration, the list of upstreams and the list of gateways, as the platform keeps them.
 * Calls fail with {@link FeedException}.
 */
public interface ControlFeed {

  /** One fact that the platform states. */
  sealed interface Update {
    /** A version of the configuration. */
    record Configured(RouteTable table) implements Update {}

    /** An upstream's entry was written. */
    record UpstreamListed(UpstreamInstance upstream) implements Update {}

    /** An upstream's entry was removed. */
    record UpstreamUnlisted(String id) implements Update {}

    /** A gateway's entry was written. */
    record PeerListed(Peer peer) implements Update {}

    /** A gateway's entry was removed. */
    record PeerUnlisted(String name) implements Update {}

    /** An entry that can't be read and is passed over. */
    record Unreadable(String key, String problem) implements Update {}
  }

  /**
   * A gateway.
   *
   * @param name name, unique in the fleet
   * @param address IP address and port of its peer protocol
   * @param zone availability zone
   * @param region region
   */
  record Peer(String name, String address, String zone, String region) {}

  /**
   * Facts up to a revision.
   *
   * @param updates facts, in the order in which they became true
   * @param revision revision from which {@link #changes} goes on
   */
  record Batch(List<Update> updates, long revision) {
    /** Copies the list. */
    public Batch {
      updates = List.copyOf(updates);
    }
  }

  /** A call to the platform that failed. */
  final class FeedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why a call failed. */
    public enum Reason {
      /** There was no answer, or the platform refused to serve. */
      UNAVAILABLE,
      /** The history since the revision is no longer kept. */
      HISTORY_LOST,
      /** The lease has ended. */
      LEASE_ENDED
    }

    private final Reason reason;

    /** Creates the exception. */
    public FeedException(Reason reason, String message) {
      super(message);
      this.reason = reason;
    }

    /** Returns why the call failed. */
    public Reason reason() {
      return reason;
    }
  }

  /** Returns all facts that hold now. */
  CompletableFuture<Batch> snapshot();

  /** Returns what has changed after a revision, at the latest after the wait. */
  CompletableFuture<Batch> changes(long afterRevision, Duration wait);

  /** Lists a gateway for as long as the returned lease is renewed. */
  CompletableFuture<Long> register(Peer self, Duration lifetime);

  /** Renews a lease. */
  CompletableFuture<Void> renewLease(long leaseId);

  /** Ends a lease. */
  CompletableFuture<Void> endLease(long leaseId);
}
