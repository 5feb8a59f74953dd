package org.oriolewell.core.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.oriolewell.core.config.Documents.NOW;
import static org.oriolewell.core.config.Documents.next;
import static org.oriolewell.core.config.Documents.sample;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.config.ConfigReplica.Action;
import org.oriolewell.core.config.ConfigReplica.Event;

/**
 * Guards against a version that decreases, a version whose document differs between processes, and
 * a process that keeps an old version. Messages are lost, reordered, repeated or corrupted, and
 * processes restart.
 */
class ConfigReplicaPropertyTest {
  private static final int REPLICA_COUNT = 6;
  private static final int VERSION_COUNT = 80;
  private static final List<ConfigDocument> DOCUMENTS_BY_VERSION = createDocuments();

  private static List<ConfigDocument> createDocuments() {
    try {
      List<ConfigDocument> documents = new ArrayList<>(List.of(sample()));
      while (documents.size() < VERSION_COUNT) {
        ConfigDocument lastDocument = documents.get(documents.size() - 1);
        ConfigChange change = new ConfigChange.SetFirm("gwifren", 0.001 * lastDocument.version());
        documents.add(next(lastDocument, change));
      }
      return documents;
    } catch (RejectedChangeException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A message in transit to a replica; replicas are named by their index. */
  private record SentMessage(int toIndex, Event event) {}

  /** Fully connected replicas with an unreliable network between them. */
  private static final class Fleet {
    private final Random random;
    private final List<ConfigReplica> replicas = new ArrayList<>();
    private final List<SentMessage> messagesInTransit = new ArrayList<>();
    private Instant now = NOW;
    private long storedVersion;

    Fleet(Random random) {
      this.random = random;
      for (int i = 0; i < REPLICA_COUNT; i++) {
        replicas.add(ConfigReplica.create(random));
      }
    }

    void step() {
      now = now.plusMillis(20);
      int replicaIndex = random.nextInt(REPLICA_COUNT);
      switch (random.nextInt(10)) {
        case 0 -> storedVersion = Math.min(VERSION_COUNT, storedVersion + 1 + random.nextInt(3));
        case 1 -> readStore(replicaIndex);
        case 2, 3 -> heartbeat(replicaIndex, random.nextInt(REPLICA_COUNT));
        case 4 -> injectFault();
        case 5 -> restart(replicaIndex);
        default -> deliver();
      }
    }

    private void restart(int replicaIndex) {
      if (random.nextInt(8) == 0) {
        replicas.set(replicaIndex, ConfigReplica.create(random));
        for (int peerIndex = 0; peerIndex < REPLICA_COUNT; peerIndex++) {
          heartbeat(peerIndex, replicaIndex);
        }
      }
    }

    private void readStore(int replicaIndex) {
      if (storedVersion > 0) {
        ConfigDocument document = DOCUMENTS_BY_VERSION.get((int) storedVersion - 1);
        apply(replicaIndex, new Event.StoreRead(ConfigJson.writeCompressed(document)));
      }
    }

    private void heartbeat(int from, int to) {
      if (from != to) {
        long version = replicas.get(from).document().version();
        apply(to, new Event.PeerVersion(from, (from + to) % 3 > 0, version));
      }
    }

    private void injectFault() {
      if (messagesInTransit.isEmpty()) {
        return;
      }
      int index = random.nextInt(messagesInTransit.size());
      SentMessage sent = messagesInTransit.get(index);
      switch (random.nextInt(3)) {
        case 0 -> messagesInTransit.remove(index);
        case 1 -> messagesInTransit.add(sent);
        default ->
            messagesInTransit.set(index, new SentMessage(sent.toIndex(), corrupted(sent.event())));
      }
    }

    private Event corrupted(Event event) {
      if (event instanceof Event.DeltaReceived e && e.changes().length > 0) {
        return new Event.DeltaReceived(
            e.peer(), e.fromVersion(), e.toVersion(), withFlippedBit(e.changes()));
      } else if (event instanceof Event.SnapshotReceived e) {
        return new Event.SnapshotReceived(e.peer(), e.version(), withFlippedBit(e.document()));
      }
      return event;
    }

    private byte[] withFlippedBit(byte[] bytes) {
      byte[] copy = bytes.clone();
      copy[random.nextInt(copy.length)] ^= (byte) (1 << random.nextInt(8));
      return copy;
    }

    private void deliver() {
      if (!messagesInTransit.isEmpty()) {
        SentMessage sent = messagesInTransit.remove(random.nextInt(messagesInTransit.size()));
        apply(sent.toIndex(), sent.event());
      }
    }

    private void apply(int replicaIndex, Event event) {
      ConfigReplica replica = replicas.get(replicaIndex);
      long versionBefore = replica.document().version();
      for (Action action : replica.on(event, now)) {
        send(replicaIndex, action);
      }
      ConfigDocument after = replica.document();
      assertThat(after.version()).isGreaterThanOrEqualTo(versionBefore);
      if (after.version() > versionBefore) {
        assertThat(after).isEqualTo(DOCUMENTS_BY_VERSION.get((int) after.version() - 1));
      }
    }

    private void send(int from, Action action) {
      if (action instanceof Action.SendRequest a) {
        messagesInTransit.add(
            new SentMessage((int) a.peer(), new Event.RequestReceived(from, a.fromVersion())));
      } else if (action instanceof Action.SendDelta a) {
        Event event = new Event.DeltaReceived(from, a.fromVersion(), a.toVersion(), a.changes());
        messagesInTransit.add(new SentMessage((int) a.peer(), event));
      } else if (action instanceof Action.SendSnapshot a) {
        Event event = new Event.SnapshotReceived(from, a.version(), a.document());
        messagesInTransit.add(new SentMessage((int) a.peer(), event));
      }
    }

    /** Ends the faults; the store stays unavailable, and replicas still exchange heartbeats. */
    void exchangeHeartbeats() {
      for (int round = 0; round < 4; round++) {
        now = now.plusMillis(250);
        for (int from = 0; from < REPLICA_COUNT; from++) {
          for (int to = 0; to < REPLICA_COUNT; to++) {
            heartbeat(from, to);
            while (!messagesInTransit.isEmpty()) {
              deliver();
            }
          }
        }
      }
    }
  }

  @Property(tries = 2000, seed = "20260505")
  void versionsNeverDecreaseAndReplicasConvergeWithoutTheStore(@ForAll long seed) {
    Fleet fleet = new Fleet(new Random(seed));
    for (int step = 0; step < 120; step++) {
      fleet.step();
    }
    fleet.exchangeHeartbeats();
    long highestVersion =
        fleet.replicas.stream().mapToLong(replica -> replica.document().version()).max().orElse(0);
    assertThat(fleet.replicas)
        .allSatisfy(replica -> assertThat(replica.document().version()).isEqualTo(highestVersion));
  }

  // Guards against requesting the same unreadable snapshot at each heartbeat.
  @Test
  void refusedSnapshotIsNotRequestedAgain() {
    ConfigReplica replica = ConfigReplica.create(new Random(1));
    assertThat(replica.on(new Event.PeerVersion(1, true, 5), NOW))
        .containsExactly(new Action.SendRequest(1, 0));
    assertThat(replica.on(new Event.SnapshotReceived(1, 5, new byte[] {1}), NOW))
        .singleElement()
        .isInstanceOf(Action.ReportRefused.class);
    assertThat(replica.on(new Event.PeerVersion(1, true, 5), NOW.plusSeconds(1))).isEmpty();
    assertThat(replica.on(new Event.PeerVersion(1, true, 6), NOW.plusSeconds(2))).hasSize(1);
  }

  // Guards against adopting an old version when the store was restored from an old copy.
  @Test
  void lowerVersionInTheStoreIsOnlyReported() {
    ConfigReplica replica = ConfigReplica.create(new Random(1));
    replica.on(new Event.StoreRead(ConfigJson.write(DOCUMENTS_BY_VERSION.get(9))), NOW);
    assertThat(replica.on(new Event.StoreRead(ConfigJson.write(DOCUMENTS_BY_VERSION.get(3))), NOW))
        .containsExactly(new Action.ReportStoreBehind(4, 10));
    assertThat(replica.document()).isEqualTo(DOCUMENTS_BY_VERSION.get(9));
  }
}
