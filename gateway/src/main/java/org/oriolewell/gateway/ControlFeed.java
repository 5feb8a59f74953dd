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
  sealed interface Fact {
    /** A version of the configuration. */
    record Configured(RouteTable table) implements Fact {}

    /** An upstream's entry was written. */
    record UpstreamListed(UpstreamInstance upstream) implements Fact {}

    /** An upstream's entry was removed. */
    record UpstreamUnlisted(String id) implements Fact {}

    /** A gateway's entry was written. */
    record PeerListed(Peer peer) implements Fact {}

    /** A gateway's entry was removed. */
    record PeerUnlisted(String name) implements Fact {}

    /** An entry that can't be read and is passed over. */
    record Unreadable(String key, String problem) implements Fact {}
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
   * @param facts facts, in the order in which they became true
   * @param revision revision from which {@link #changes} goes on
   */
  record Batch(List<Fact> facts, long revision) {
    /** Copies the list. */
    public Batch {
      facts = List.copyOf(facts);
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
  CompletableFuture<Batch> changes(long after, Duration wait);

  /** Lists a gateway for as long as the returned lease is renewed. */
  CompletableFuture<Long> register(Peer self, Duration lifetime);

  /** Renews a lease. */
  CompletableFuture<Void> renew(long lease);

  /** Ends a lease. */
  CompletableFuture<Void> withdraw(long lease);
}
