package org.oriolewell.core.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.oriolewell.core.config.Documents.NOW;
import static org.oriolewell.core.config.Documents.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.statistics.Statistics;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.ConfigAcceptor.Action;
import org.oriolewell.core.config.ConfigAcceptor.Event;
import org.oriolewell.core.config.ConfigAcceptor.Outcome;
import org.oriolewell.core.config.ConfigAcceptor.Result;

/**
 * Guards against a wrong outcome, a command that takes effect twice, and versions that decrease or
 * are skipped. Concurrent commands write to a store that loses and delays answers and writes.
 */
class ConfigAcceptorPropertyTest {
  private static final int MAX_STEPS = 2000;
  private static final int ATTEMPT_COUNT = 8;
  private static final Instant TIME_OF_REPEAT = NOW.plusSeconds(60);

  /** Store whose writes may take effect without an answer, or after their failure was reported. */
  private static final class FaultyStore {
    private long revision;
    private byte[] value = new byte[0];
    private final List<Action.Write> delayedWrites = new ArrayList<>();
    private final List<ConfigDocument> writtenVersions = new ArrayList<>();

    boolean write(Action.Write write) throws Exception {
      if (write.expectedRevision() != revision) {
        return false;
      }
      revision++;
      value = write.value();
      writtenVersions.add(ConfigJson.readPlainOrCompressed(value));
      return true;
    }

    Event handle(Action action, Random random) throws Exception {
      while (!delayedWrites.isEmpty() && random.nextInt(4) == 0) {
        write(delayedWrites.remove(random.nextInt(delayedWrites.size())));
      }
      int faultKind = random.nextInt(6);
      if (action instanceof Action.Write write) {
        if (faultKind == 0) {
          write(write);
          return new Event.WriteFailed();
        } else if (faultKind == 1) {
          delayedWrites.add(write);
          return new Event.WriteFailed();
        }
        return faultKind == 2 ? new Event.WriteFailed() : new Event.WriteDone(write(write));
      }
      return faultKind == 0 ? new Event.ReadFailed() : new Event.ReadDone(revision, value);
    }
  }

  /** One attempt to submit a command at one entry; several attempts may share a command id. */
  private static final class Attempt {
    private final String id;
    private final ConfigAcceptor acceptor;
    private Action nextAction = new Action.Read();
    private @Nullable Result result;

    Attempt(String id, ConfigAcceptor acceptor) {
      this.id = id;
      this.acceptor = acceptor;
    }

    void step(FaultyStore store, Random random, Instant now) throws Exception {
      Event event =
          nextAction instanceof Action.Pause
              ? new Event.PauseOver()
              : store.handle(nextAction, random);
      nextAction = acceptor.on(event, now).get(0);
      if (nextAction instanceof Action.Finish finish) {
        result = finish.result();
      }
    }
  }

  @Property(tries = 4000, seed = "20260504")
  void outcomesMatchTheStore(@ForAll long seed) throws Exception {
    Random random = new Random(seed);
    FaultyStore store = new FaultyStore();
    List<Attempt> attempts = attempts(random);
    for (int step = 0; step < MAX_STEPS; step++) {
      List<Attempt> unfinished = attempts.stream().filter(a -> a.result == null).toList();
      if (unfinished.isEmpty()) {
        break;
      }
      Instant now = NOW.plusMillis(10L * step);
      unfinished.get(random.nextInt(unfinished.size())).step(store, random, now);
    }
    for (Action.Write delayedWrite : List.copyOf(store.delayedWrites)) {
      store.write(delayedWrite);
    }
    checkOutcomes(store, attempts);
    for (Attempt attempt : attempts) {
      repeat(store, attempt);
    }
  }

  /** Repeats a command at a store without faults; its outcome must agree with the first attempt. */
  private static void repeat(FaultyStore store, Attempt first) throws Exception {
    ConfigAcceptor acceptor = acceptor(first.id, TIME_OF_REPEAT.plusSeconds(1));
    Action action = new Action.Read();
    while (!(action instanceof Action.Finish)) {
      Event event =
          action instanceof Action.Write write
              ? new Event.WriteDone(store.write(write))
              : new Event.ReadDone(store.revision, store.value);
      action = acceptor.on(event, TIME_OF_REPEAT).get(0);
    }
    Result repeated = ((Action.Finish) action).result();
    Result result = Objects.requireNonNull(first.result);
    if (result.outcome() != Outcome.UNKNOWN) {
      assertThat(repeated.outcome()).isEqualTo(result.outcome());
    }
    if (result.outcome() == Outcome.ACCEPTED) {
      assertThat(repeated.version()).isEqualTo(result.version());
    }
    if (expectedVersion(first.id) <= store.writtenVersions.size()) {
      assertThat(repeated.outcome()).isNotEqualTo(Outcome.UNKNOWN);
    }
  }

  private static long expectedVersion(String id) {
    return id.charAt(1) % 3;
  }

  private static ConfigAcceptor acceptor(String id, Instant giveUpAt) {
    ConfigChange change = new ConfigChange.CreateFirm(id, new FirmSpec(0.1));
    return ConfigAcceptor.of(command(id, expectedVersion(id), change), 0, giveUpAt);
  }

  private static List<Attempt> attempts(Random random) {
    List<Attempt> attempts = new ArrayList<>();
    for (int i = 0; i < ATTEMPT_COUNT; i++) {
      String id = "c" + random.nextInt(5);
      Instant giveUpAt = NOW.plusMillis(random.nextInt(2000));
      attempts.add(new Attempt(id, acceptor(id, giveUpAt)));
    }
    return attempts;
  }

  private static void checkOutcomes(FaultyStore store, List<Attempt> attempts) {
    Map<String, Long> versionsByCommandId = new HashMap<>();
    for (int i = 0; i < store.writtenVersions.size(); i++) {
      ConfigDocument document = store.writtenVersions.get(i);
      assertThat(document.version()).isEqualTo(i + 1);
      ChangeRecord lastChange = document.changes().get(document.changes().size() - 1);
      assertThat(versionsByCommandId.put(lastChange.commandId(), lastChange.version())).isNull();
    }
    Set<String> rejectedIds = new HashSet<>();
    for (Attempt attempt : attempts) {
      Result result = Objects.requireNonNull(attempt.result, "an attempt has no result");
      Statistics.label("outcome").collect(result.outcome());
      if (result.outcome() == Outcome.ACCEPTED) {
        assertThat(versionsByCommandId).containsEntry(attempt.id, result.version());
      } else if (result.outcome() == Outcome.REJECTED) {
        rejectedIds.add(attempt.id);
      }
    }
    Statistics.label("outcome")
        .coverage(
            coverage -> {
              for (Outcome outcome : Outcome.values()) {
                coverage.check(outcome).percentage(share -> share > 5);
              }
            });
    assertThat(versionsByCommandId).doesNotContainKeys(rejectedIds.toArray(String[]::new));
  }
}
