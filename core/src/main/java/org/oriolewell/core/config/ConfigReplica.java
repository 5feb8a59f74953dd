package org.oriolewell.core.config;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * State machine that distributes the configuration document between connected processes. It holds
 * the document in force in this process, replaces it only by a higher version, and passes each new
 * version on to the peers.
 *
 * <p>A few peers in the same region receive the delta at once; the others are told the version and
 * request the delta if they still lack it. So the bytes that a process sends and receives for a
 * change don't grow with the number of its connections, and a delta goes to another region only on
 * request.
 */
public final class ConfigReplica {
  /** Number of peers that receive the delta of a new version without a request. */
  static final int PUSH_FANOUT = 3;

  /**
   * Largest delta that is sent without a request, in bytes. Several peers may send the same delta
   * to a process, which would cost too much traffic for a large one.
   */
  static final int MAX_PUSH_BYTES = 8 << 10;

  /**
   * Time for which an unanswered request prevents another request. It's above the round trip
   * between regions (40 ms); with 250 ms, one busy peer could delay a version by two heartbeats.
   */
  static final Duration REQUEST_TIMEOUT = Duration.ofMillis(100);

  /** Base version with which a request asks for a snapshot even if the peer has a delta. */
  static final long FROM_VERSION_FOR_SNAPSHOT = -1;

  /** Input of the replica. The caller identifies each peer by a number that it chooses. */
  public sealed interface Event {
    /** A peer reported its version, when it connected or in a heartbeat. */
    record PeerVersion(long peer, boolean sameRegion, long version) implements Event {}

    /** The connection to a peer was closed. */
    record PeerDisconnected(long peer) implements Event {}

    /** A peer requested the changes after a version; -1 requests a snapshot. */
    record RequestReceived(long peer, long fromVersion) implements Event {}

    /** A peer sent the changes between two versions; empty changes only tell its version. */
    record DeltaReceived(long peer, long fromVersion, long toVersion, byte[] changes)
        implements Event {}

    /** A peer sent its whole document, compressed. */
    record SnapshotReceived(long peer, long version, byte[] document) implements Event {}

    /** The document was read from the store. */
    record StoreRead(byte[] document) implements Event {}

    /** A command of this process wrote a document, or the look-up of a command read one. */
    record Accepted(ConfigDocument document) implements Event {}
  }

  /** What the caller must do, in the order of the returned list. */
  public sealed interface Action {
    /** Request the changes after a version from a peer; -1 requests a snapshot. */
    record SendRequest(long peer, long fromVersion) implements Action {}

    /** Send the changes between two versions to a peer; empty changes only tell the version. */
    record SendDelta(long peer, long fromVersion, long toVersion, byte[] changes)
        implements Action {}

    /** Send the whole document, compressed, to a peer. */
    record SendSnapshot(long peer, long version, byte[] document) implements Action {}

    /** Put a new document in force in this process. */
    record Publish(ConfigDocument document) implements Action {}

    /** Log that a document from the source was refused; the message says why. */
    record ReportRefused(String source, String message) implements Action {}

    /** Log that the store holds a lower version than the one in force. */
    record ReportStoreBehind(long storeVersion, long version) implements Action {}
  }

  private static final class Peer {
    private final boolean sameRegion;
    private long reportedVersion;
    private long refusedSnapshotVersion = -1;

    Peer(boolean sameRegion) {
      this.sameRegion = sameRegion;
    }
  }

  private final RandomGenerator random;
  private final Map<Long, Peer> peers = new HashMap<>();
  private ConfigDocument document = ConfigDocument.empty();
  private @Nullable Long requestedPeer;
  private Instant requestedAt = Instant.EPOCH;
  private @Nullable String digest;
  private byte @Nullable [] snapshot;
  private final Map<Long, Optional<byte[]>> deltasByFromVersion = new HashMap<>();

  private ConfigReplica(RandomGenerator random) {
    this.random = random;
  }

  /** Returns a replica with the empty document, version 0. */
  public static ConfigReplica create(RandomGenerator random) {
    return new ConfigReplica(random);
  }

  /** Returns the document in force; its version is 0 while none is known. */
  public ConfigDocument document() {
    return document;
  }

  /** Returns the number of connected peers. */
  public int peerCount() {
    return peers.size();
  }

  /** Handles an event and returns the actions that the caller must perform. */
  public List<Action> on(Event event, Instant now) {
    if (event instanceof Event.PeerVersion e) {
      Peer peer = peers.computeIfAbsent(e.peer(), id -> new Peer(e.sameRegion()));
      peer.reportedVersion = Math.max(peer.reportedVersion, e.version());
      return requestIfNewer(e.peer(), now);
    } else if (event instanceof Event.PeerDisconnected e) {
      return handleDisconnected(e.peer());
    } else if (event instanceof Event.RequestReceived e) {
      return answerRequest(e.peer(), e.fromVersion());
    } else if (event instanceof Event.DeltaReceived e) {
      return handleDelta(e, now);
    } else if (event instanceof Event.SnapshotReceived e) {
      return handleSnapshot(e);
    } else if (event instanceof Event.StoreRead e) {
      return handleStoreRead(e.document());
    } else {
      return adopt(((Event.Accepted) event).document());
    }
  }

  private List<Action> handleDisconnected(long peer) {
    peers.remove(peer);
    if (requestedPeer != null && requestedPeer == peer) {
      requestedPeer = null;
    }
    return List.of();
  }

  private List<Action> requestIfNewer(long id, Instant now) {
    Peer peer = peers.get(id);
    boolean requestPending =
        requestedPeer != null && now.isBefore(requestedAt.plus(REQUEST_TIMEOUT));
    if (peer == null
        || peer.reportedVersion <= document.version()
        || peer.reportedVersion == peer.refusedSnapshotVersion
        || requestPending) {
      return List.of();
    }
    return request(id, document.version(), now);
  }

  private List<Action> request(long peer, long fromVersion, Instant now) {
    requestedPeer = peer;
    requestedAt = now;
    return List.of(new Action.SendRequest(peer, fromVersion));
  }

  private List<Action> answerRequest(long peer, long fromVersion) {
    if (fromVersion >= document.version()) {
      return List.of();
    }
    Optional<byte[]> delta = deltaFrom(fromVersion);
    boolean sendsDelta =
        delta.isPresent()
            && (delta.get().length <= MAX_PUSH_BYTES || delta.get().length <= snapshot().length);
    return List.of(
        sendsDelta
            ? new Action.SendDelta(peer, fromVersion, document.version(), delta.get())
            : new Action.SendSnapshot(peer, document.version(), snapshot()));
  }

  private Optional<byte[]> deltaFrom(long fromVersion) {
    if (fromVersion < 0) {
      return Optional.empty();
    }
    if (digest == null) {
      digest = ConfigDelta.digest(document);
    }
    String documentDigest = digest;
    return deltasByFromVersion.computeIfAbsent(
        fromVersion, base -> ConfigDelta.encode(document, base, documentDigest));
  }

  private byte[] pushableDelta(long fromVersion) {
    return deltaFrom(fromVersion)
        .filter(bytes -> bytes.length <= MAX_PUSH_BYTES)
        .orElse(NO_CHANGES);
  }

  private byte[] snapshot() {
    if (snapshot == null) {
      snapshot = ConfigJson.writeCompressed(document);
    }
    return snapshot;
  }

  private List<Action> handleDelta(Event.DeltaReceived event, Instant now) {
    Peer peer = peers.get(event.peer());
    if (peer != null) {
      peer.reportedVersion = Math.max(peer.reportedVersion, event.toVersion());
    }
    if (event.changes().length == 0) {
      return requestIfNewer(event.peer(), now);
    }
    clearRequestTo(event.peer());
    if (event.toVersion() <= document.version()) {
      return List.of();
    }
    if (event.fromVersion() != document.version()) {
      return requestIfNewer(event.peer(), now);
    }
    try {
      ConfigDelta.Applied next = ConfigDelta.apply(document, event.changes());
      if (next.document().version() != event.toVersion()) {
        throw new IOException("the delta makes version " + next.document().version());
      }
      return adopt(next.document(), next.digest());
    } catch (IOException | RuntimeException e) {
      return ImmutableList.<Action>builder()
          .add(new Action.ReportRefused("delta of a peer", String.valueOf(e.getMessage())))
          .addAll(request(event.peer(), FROM_VERSION_FOR_SNAPSHOT, now))
          .build();
    }
  }

  private List<Action> handleSnapshot(Event.SnapshotReceived event) {
    clearRequestTo(event.peer());
    if (event.version() <= document.version()) {
      return List.of();
    }
    try {
      ConfigDocument next = ConfigJson.readPlainOrCompressed(event.document());
      if (next.version() != event.version()) {
        throw new IOException("the snapshot holds version " + next.version());
      }
      return adopt(next);
    } catch (IOException | RuntimeException e) {
      // The peer would send the same snapshot, so this version isn't requested from it again.
      Peer peer = peers.get(event.peer());
      if (peer != null) {
        peer.refusedSnapshotVersion = event.version();
      }
      return List.of(
          new Action.ReportRefused("snapshot of a peer", String.valueOf(e.getMessage())));
    }
  }

  private List<Action> handleStoreRead(byte[] bytes) {
    ConfigDocument stored;
    try {
      stored = ConfigJson.readPlainOrCompressed(bytes);
    } catch (IOException | RuntimeException e) {
      return List.of(new Action.ReportRefused("store", String.valueOf(e.getMessage())));
    }
    if (stored.version() < document.version()) {
      return List.of(new Action.ReportStoreBehind(stored.version(), document.version()));
    }
    return adopt(stored);
  }

  private void clearRequestTo(long peer) {
    if (requestedPeer != null && requestedPeer == peer) {
      requestedPeer = null;
    }
  }

  private List<Action> adopt(ConfigDocument next) {
    return adopt(next, null);
  }

  private List<Action> adopt(ConfigDocument next, @Nullable String knownDigest) {
    if (next.version() <= document.version()) {
      return List.of();
    }
    document = next;
    digest = knownDigest;
    snapshot = null;
    deltasByFromVersion.clear();
    List<Action> actions = new ArrayList<>();
    actions.add(new Action.Publish(next));
    announce(actions);
    return actions;
  }

  private <T> void shuffle(List<T> list) {
    for (int i = list.size() - 1; i > 0; i--) {
      Collections.swap(list, i, random.nextInt(i + 1));
    }
  }

  private void announce(List<Action> actions) {
    List<Map.Entry<Long, Peer>> outdatedPeers = new ArrayList<>();
    peers.entrySet().stream()
        .filter(entry -> entry.getValue().reportedVersion < document.version())
        .sorted(Map.Entry.comparingByKey())
        .forEach(outdatedPeers::add);
    shuffle(outdatedPeers);
    int pushedCount = 0;
    for (Map.Entry<Long, Peer> entry : outdatedPeers) {
      boolean isPushTarget = entry.getValue().sameRegion && pushedCount < PUSH_FANOUT;
      byte[] changes = isPushTarget ? pushableDelta(entry.getValue().reportedVersion) : NO_CHANGES;
      pushedCount += changes.length > 0 ? 1 : 0;
      long deltaFromVersion =
          changes.length > 0 ? entry.getValue().reportedVersion : document.version();
      actions.add(
          new Action.SendDelta(entry.getKey(), deltaFromVersion, document.version(), changes));
    }
  }

  private static final byte[] NO_CHANGES = new byte[0];
}
