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
 * Guards against a version that goes back or differs between processes, and against a process that
 * stays behind, while messages are lost, reordered, repeated or damaged and processes restart.
 */
class ConfigReplicaPropertyTest {
  private static final int REPLICAS = 6;
  private static final int VERSIONS = 80;
  private static final List<ConfigDocument> HISTORY = history();

  private static List<ConfigDocument> history() {
    try {
      List<ConfigDocument> documents = new ArrayList<>(List.of(sample()));
      while (documents.size() < VERSIONS) {
        ConfigDocument last = documents.get(documents.size() - 1);
        ConfigChange change = new ConfigChange.SetFirm("gwifren", 0.001 * last.version());
        documents.add(next(last, change));
      }
      return documents;
    } catch (RejectedChangeException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A message under way; peers are named by their index. */
  private record Sent(int to, Event event) {}

  /** Fully connected replicas with a faulty network between them. */
  private static final class Fleet {
    private final Random random;
    private final List<ConfigReplica> replicas = new ArrayList<>();
    private final List<Sent> network = new ArrayList<>();
    private Instant now = NOW;
    private long stored;

    Fleet(Random random) {
      this.random = random;
      for (int i = 0; i < REPLICAS; i++) {
        replicas.add(ConfigReplica.create(random));
      }
    }

    void step() {
      now = now.plusMillis(20);
      int one = random.nextInt(REPLICAS);
      switch (random.nextInt(10)) {
        case 0 -> stored = Math.min(VERSIONS, stored + 1 + random.nextInt(3));
        case 1 -> readStore(one);
        case 2, 3 -> heartbeat(one, random.nextInt(REPLICAS));
        case 4 -> damage();
        case 5 -> restart(one);
        default -> deliver();
      }
    }

    private void restart(int one) {
      if (random.nextInt(8) == 0) {
        replicas.set(one, ConfigReplica.create(random));
        for (int other = 0; other < REPLICAS; other++) {
          heartbeat(other, one);
        }
      }
    }

    private void readStore(int one) {
      if (stored > 0) {
        ConfigDocument document = HISTORY.get((int) stored - 1);
        apply(one, new Event.StoreRead(ConfigJson.writeCompressed(document)));
      }
    }

    private void heartbeat(int from, int to) {
      if (from != to) {
        long version = replicas.get(from).document().version();
        apply(to, new Event.PeerVersion(from, (from + to) % 3 > 0, version));
      }
    }

    private void damage() {
      if (network.isEmpty()) {
        return;
      }
      int index = random.nextInt(network.size());
      Sent sent = network.get(index);
      switch (random.nextInt(3)) {
        case 0 -> network.remove(index);
        case 1 -> network.add(sent);
        default -> network.set(index, new Sent(sent.to(), damaged(sent.event())));
      }
    }

    private Event damaged(Event event) {
      if (event instanceof Event.DeltaReceived e && e.changes().length > 0) {
        return new Event.DeltaReceived(
            e.peer(), e.fromVersion(), e.toVersion(), flipped(e.changes()));
      } else if (event instanceof Event.SnapshotReceived e) {
        return new Event.SnapshotReceived(e.peer(), e.version(), flipped(e.document()));
      }
      return event;
    }

    private byte[] flipped(byte[] bytes) {
      byte[] copy = bytes.clone();
      copy[random.nextInt(copy.length)] ^= (byte) (1 << random.nextInt(8));
      return copy;
    }

    private void deliver() {
      if (!network.isEmpty()) {
        Sent sent = network.remove(random.nextInt(network.size()));
        apply(sent.to(), sent.event());
      }
    }

    private void apply(int one, Event event) {
      ConfigReplica replica = replicas.get(one);
      long before = replica.document().version();
      for (Action action : replica.on(event, now)) {
        send(one, action);
      }
      ConfigDocument after = replica.document();
      assertThat(after.version()).isGreaterThanOrEqualTo(before);
      if (after.version() > before) {
        assertThat(after).isEqualTo(HISTORY.get((int) after.version() - 1));
      }
    }

    private void send(int from, Action action) {
      if (action instanceof Action.Ask a) {
        network.add(new Sent((int) a.peer(), new Event.Asked(from, a.fromVersion())));
      } else if (action instanceof Action.SendDelta a) {
        Event event = new Event.DeltaReceived(from, a.fromVersion(), a.toVersion(), a.changes());
        network.add(new Sent((int) a.peer(), event));
      } else if (action instanceof Action.SendSnapshot a) {
        Event event = new Event.SnapshotReceived(from, a.version(), a.document());
        network.add(new Sent((int) a.peer(), event));
      }
    }

    /** Ends the faults; the store stays away and only heartbeats between processes go on. */
    void settle() {
      for (int round = 0; round < 4; round++) {
        now = now.plusMillis(250);
        for (int from = 0; from < REPLICAS; from++) {
          for (int to = 0; to < REPLICAS; to++) {
            heartbeat(from, to);
            while (!network.isEmpty()) {
              deliver();
            }
          }
        }
      }
    }
  }

  @Property(tries = 2000, seed = "20260505")
  void replicasNeverGoBackAndConvergeWithoutTheStore(@ForAll long seed) {
    Fleet fleet = new Fleet(new Random(seed));
    for (int step = 0; step < 120; step++) {
      fleet.step();
    }
    fleet.settle();
    long highest =
        fleet.replicas.stream().mapToLong(replica -> replica.document().version()).max().orElse(0);
    assertThat(fleet.replicas)
        .allSatisfy(replica -> assertThat(replica.document().version()).isEqualTo(highest));
  }

  // Guards against asking for the same bad snapshot with each heartbeat.
  @Test
  void refusedSnapshotIsNotAskedForAgain() {
    ConfigReplica replica = ConfigReplica.create(new Random(1));
    assertThat(replica.on(new Event.PeerVersion(1, true, 5), NOW))
        .containsExactly(new Action.Ask(1, 0));
    assertThat(replica.on(new Event.SnapshotReceived(1, 5, new byte[] {1}), NOW))
        .singleElement()
        .isInstanceOf(Action.ReportRefused.class);
    assertThat(replica.on(new Event.PeerVersion(1, true, 5), NOW.plusSeconds(1))).isEmpty();
    assertThat(replica.on(new Event.PeerVersion(1, true, 6), NOW.plusSeconds(2))).hasSize(1);
  }

  // Guards against a store restored from an old copy that takes the configuration back.
  @Test
  void lowerVersionInTheStoreIsReportedOnly() {
    ConfigReplica replica = ConfigReplica.create(new Random(1));
    replica.on(new Event.StoreRead(ConfigJson.write(HISTORY.get(9))), NOW);
    assertThat(replica.on(new Event.StoreRead(ConfigJson.write(HISTORY.get(3))), NOW))
        .containsExactly(new Action.ReportStoreBehind(4, 10));
    assertThat(replica.document()).isEqualTo(HISTORY.get(9));
  }
}
