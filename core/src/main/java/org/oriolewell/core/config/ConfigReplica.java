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
 * The receiving side of the distribution: holds the document in force, accepts only a higher
 * version, and passes it on to peers.
 *
 * <p>A few peers in the same region receive the delta at once; the others are told the version and
 * ask for the delta if they still lack it. This keeps the bytes of a change constant for each
 * process, whatever the number of its connections, and sends a delta to another region only when
 * that region asks.
 */
public final class ConfigReplica {
  /** Peers that receive a new version's delta without asking. */
  static final int PUSH_FANOUT = 3;

  /**
   * Largest delta that is sent unasked, in bytes. Several peers may send the same delta, which
   * matters for a large one.
   */
  static final int MAX_PUSH_BYTES = 8 << 10;

  /**
   * Time after which an unanswered question no longer prevents another. It's above the round trip
   * between regions (40 ms); with 250 ms, one busy peer could delay a version by two heartbeats.
   */
  static final Duration ASK_TIMEOUT = Duration.ofMillis(100);

  /** Base version that asks for a snapshot whatever deltas the peer could send. */
  static final long WANT_SNAPSHOT = -1;

  /** Something that happened to the replica. Peers are numbers chosen by the caller. */
  public sealed interface Event {
    /** A peer is connected or its version was heard of. */
    record PeerVersion(long peer, boolean sameRegion, long version) implements Event {}

    /** A peer's connection was closed. */
    record PeerLeft(long peer) implements Event {}

    /** A peer asks for the changes after a version. */
    record Asked(long peer, long fromVersion) implements Event {}

    /** A peer sent changes, or only the number of its version if the changes are empty. */
    record DeltaReceived(long peer, long fromVersion, long toVersion, byte[] changes)
        implements Event {}

    /** A peer sent a whole document. */
    record SnapshotReceived(long peer, long version, byte[] document) implements Event {}

    /** The store's value was read. */
    record StoreRead(byte[] document) implements Event {}

    /** This process had a change accepted by the store. */
    record Accepted(ConfigDocument document) implements Event {}
  }

  /** Something to be done by the caller, in order. */
  public sealed interface Action {
    /** Ask a peer for the changes after a version; -1 asks for a snapshot. */
    record Ask(long peer, long fromVersion) implements Action {}

    /** Send changes to a peer; empty changes only tell the version. */
    record SendDelta(long peer, long fromVersion, long toVersion, byte[] changes)
        implements Action {}

    /** Send the whole document, compressed, to a peer. */
    record SendSnapshot(long peer, long version, byte[] document) implements Action {}

    /** Put a new document in force. */
    record Publish(ConfigDocument document) implements Action {}

    /** Report that a document was refused; the message says why. */
    record ReportRefused(String source, String message) implements Action {}

    /** Report that the store holds a lower version than the one in force. */
    record ReportStoreBehind(long storeVersion, long version) implements Action {}
  }

  private static final class Peer {
    private final boolean sameRegion;
    private long version;
    private long refusedVersion = -1;

    Peer(boolean sameRegion) {
      this.sameRegion = sameRegion;
    }
  }

  private final RandomGenerator random;
  private final Map<Long, Peer> peers = new HashMap<>();
  private ConfigDocument document = ConfigDocument.empty();
  private @Nullable Long asked;
  private Instant askedAt = Instant.EPOCH;
  private @Nullable String digest;
  private byte @Nullable [] snapshot;
  private final Map<Long, Optional<byte[]>> deltas = new HashMap<>();

  private ConfigReplica(RandomGenerator random) {
    this.random = random;
  }

  /** Returns a replica without a document. */
  public static ConfigReplica create(RandomGenerator random) {
    return new ConfigReplica(random);
  }

  /** Returns the document in force; version 0 if none is known. */
  public ConfigDocument document() {
    return document;
  }

  /** Returns the number of connected peers. */
  public int peers() {
    return peers.size();
  }

  /** Returns what is to be done after an event. */
  public List<Action> on(Event event, Instant now) {
    if (event instanceof Event.PeerVersion e) {
      Peer peer = peers.computeIfAbsent(e.peer(), id -> new Peer(e.sameRegion()));
      peer.version = Math.max(peer.version, e.version());
      return ask(e.peer(), now);
    } else if (event instanceof Event.PeerLeft e) {
      return left(e.peer());
    } else if (event instanceof Event.Asked e) {
      return answer(e.peer(), e.fromVersion());
    } else if (event instanceof Event.DeltaReceived e) {
      return received(e, now);
    } else if (event instanceof Event.SnapshotReceived e) {
      return received(e);
    } else if (event instanceof Event.StoreRead e) {
      return read(e.document());
    } else {
      return adopt(((Event.Accepted) event).document());
    }
  }

  private List<Action> left(long peer) {
    peers.remove(peer);
    if (asked != null && asked == peer) {
      asked = null;
    }
    return List.of();
  }

  private List<Action> ask(long id, Instant now) {
    Peer peer = peers.get(id);
    boolean waiting = asked != null && now.isBefore(askedAt.plus(ASK_TIMEOUT));
    if (peer == null
        || peer.version <= document.version()
        || peer.version == peer.refusedVersion
        || waiting) {
      return List.of();
    }
    return ask(id, document.version(), now);
  }

  private List<Action> ask(long peer, long fromVersion, Instant now) {
    asked = peer;
    askedAt = now;
    return List.of(new Action.Ask(peer, fromVersion));
  }

  private List<Action> answer(long peer, long fromVersion) {
    if (fromVersion >= document.version()) {
      return List.of();
    }
    Optional<byte[]> delta = delta(fromVersion);
    boolean small =
        delta.isPresent()
            && (delta.get().length <= MAX_PUSH_BYTES || delta.get().length <= snapshot().length);
    return List.of(
        small
            ? new Action.SendDelta(peer, fromVersion, document.version(), delta.get())
            : new Action.SendSnapshot(peer, document.version(), snapshot()));
  }

  private Optional<byte[]> delta(long fromVersion) {
    if (fromVersion < 0) {
      return Optional.empty();
    }
    if (digest == null) {
      digest = ConfigDelta.digest(document);
    }
    String known = digest;
    return deltas.computeIfAbsent(fromVersion, from -> ConfigDelta.encode(document, from, known));
  }

  private byte[] pushed(long fromVersion) {
    return delta(fromVersion).filter(bytes -> bytes.length <= MAX_PUSH_BYTES).orElse(NONE);
  }

  private byte[] snapshot() {
    if (snapshot == null) {
      snapshot = ConfigJson.writeCompressed(document);
    }
    return snapshot;
  }

  private List<Action> received(Event.DeltaReceived event, Instant now) {
    Peer peer = peers.get(event.peer());
    if (peer != null) {
      peer.version = Math.max(peer.version, event.toVersion());
    }
    if (event.changes().length == 0) {
      return ask(event.peer(), now);
    }
    answered(event.peer());
    if (event.toVersion() <= document.version()) {
      return List.of();
    }
    if (event.fromVersion() != document.version()) {
      return ask(event.peer(), now);
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
          .addAll(ask(event.peer(), WANT_SNAPSHOT, now))
          .build();
    }
  }

  private List<Action> received(Event.SnapshotReceived event) {
    answered(event.peer());
    if (event.version() <= document.version()) {
      return List.of();
    }
    try {
      ConfigDocument next = ConfigJson.readAny(event.document());
      if (next.version() != event.version()) {
        throw new IOException("the snapshot holds version " + next.version());
      }
      return adopt(next);
    } catch (IOException | RuntimeException e) {
      // The same snapshot would be refused again, so this peer isn't asked again for this version.
      Peer peer = peers.get(event.peer());
      if (peer != null) {
        peer.refusedVersion = event.version();
      }
      return List.of(
          new Action.ReportRefused("snapshot of a peer", String.valueOf(e.getMessage())));
    }
  }

  private List<Action> read(byte[] bytes) {
    ConfigDocument stored;
    try {
      stored = ConfigJson.readAny(bytes);
    } catch (IOException | RuntimeException e) {
      return List.of(new Action.ReportRefused("store", String.valueOf(e.getMessage())));
    }
    if (stored.version() < document.version()) {
      return List.of(new Action.ReportStoreBehind(stored.version(), document.version()));
    }
    return adopt(stored);
  }

  private void answered(long peer) {
    if (asked != null && asked == peer) {
      asked = null;
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
    deltas.clear();
    List<Action> actions = new ArrayList<>();
    actions.add(new Action.Publish(next));
    passOn(actions);
    return actions;
  }

  private <T> void shuffle(List<T> list) {
    for (int i = list.size() - 1; i > 0; i--) {
      Collections.swap(list, i, random.nextInt(i + 1));
    }
  }

  private void passOn(List<Action> actions) {
    List<Map.Entry<Long, Peer>> behind = new ArrayList<>();
    peers.entrySet().stream()
        .filter(entry -> entry.getValue().version < document.version())
        .sorted(Map.Entry.comparingByKey())
        .forEach(behind::add);
    shuffle(behind);
    int pushed = 0;
    for (Map.Entry<Long, Peer> entry : behind) {
      boolean push = entry.getValue().sameRegion && pushed < PUSH_FANOUT;
      byte[] changes = push ? pushed(entry.getValue().version) : NONE;
      pushed += changes.length > 0 ? 1 : 0;
      long from = changes.length > 0 ? entry.getValue().version : document.version();
      actions.add(new Action.SendDelta(entry.getKey(), from, document.version(), changes));
    }
  }

  private static final byte[] NONE = new byte[0];
}
