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
 * Guards against a false outcome, a command with two effects, and a version that goes back or is
 * skipped, while operators race over a store that loses and delays answers and writes.
 */
class ConfigAcceptorPropertyTest {
  private static final int MAX_STEPS = 2000;
  private static final int ATTEMPTS = 8;
  private static final Instant LATER = NOW.plusSeconds(60);

  /** A store whose writes may take effect without an answer, or later than their failure. */
  private static final class FaultyStore {
    private long revision;
    private byte[] value = new byte[0];
    private final List<Action.Write> delayed = new ArrayList<>();
    private final List<ConfigDocument> versions = new ArrayList<>();

    boolean write(Action.Write write) throws Exception {
      if (write.expectedRevision() != revision) {
        return false;
      }
      revision++;
      value = write.value();
      versions.add(ConfigJson.readAny(value));
      return true;
    }

    Event handle(Action action, Random random) throws Exception {
      while (!delayed.isEmpty() && random.nextInt(4) == 0) {
        write(delayed.remove(random.nextInt(delayed.size())));
      }
      int fault = random.nextInt(6);
      if (action instanceof Action.Write write) {
        if (fault == 0) {
          write(write);
          return new Event.WriteFailed();
        } else if (fault == 1) {
          delayed.add(write);
          return new Event.WriteFailed();
        }
        return fault == 2 ? new Event.WriteFailed() : new Event.WriteDone(write(write));
      }
      return fault == 0 ? new Event.ReadFailed() : new Event.ReadDone(revision, value);
    }
  }

  /** One attempt of a command at one entry; two attempts may share a command id. */
  private static final class Attempt {
    private final String id;
    private final ConfigAcceptor acceptor;
    private Action pending = new Action.Read();
    private @Nullable Result result;

    Attempt(String id, ConfigAcceptor acceptor) {
      this.id = id;
      this.acceptor = acceptor;
    }

    void step(FaultyStore store, Random random, Instant now) throws Exception {
      Event event =
          pending instanceof Action.Pause ? new Event.PauseOver() : store.handle(pending, random);
      pending = acceptor.on(event, now).get(0);
      if (pending instanceof Action.Finish finish) {
        result = finish.result();
      }
    }
  }

  @Property(tries = 4000, seed = "20260504")
  void outcomesAreTruthful(@ForAll long seed) throws Exception {
    Random random = new Random(seed);
    FaultyStore store = new FaultyStore();
    List<Attempt> attempts = attempts(random);
    for (int step = 0; step < MAX_STEPS; step++) {
      List<Attempt> running = attempts.stream().filter(a -> a.result == null).toList();
      if (running.isEmpty()) {
        break;
      }
      Instant now = NOW.plusMillis(10L * step);
      running.get(random.nextInt(running.size())).step(store, random, now);
    }
    for (Action.Write late : List.copyOf(store.delayed)) {
      store.write(late);
    }
    check(store, attempts);
    for (Attempt attempt : attempts) {
      settle(store, attempt);
    }
  }

  /** Repeats a command over a store without faults; the answer must agree with the first one. */
  private static void settle(FaultyStore store, Attempt first) throws Exception {
    ConfigAcceptor acceptor = acceptor(first.id, LATER.plusSeconds(1));
    Action action = new Action.Read();
    while (!(action instanceof Action.Finish)) {
      Event event =
          action instanceof Action.Write write
              ? new Event.WriteDone(store.write(write))
              : new Event.ReadDone(store.revision, store.value);
      action = acceptor.on(event, LATER).get(0);
    }
    Result repeated = ((Action.Finish) action).result();
    Result result = Objects.requireNonNull(first.result);
    if (result.outcome() != Outcome.UNKNOWN) {
      assertThat(repeated.outcome()).isEqualTo(result.outcome());
    }
    if (result.outcome() == Outcome.ACCEPTED) {
      assertThat(repeated.version()).isEqualTo(result.version());
    }
    if (expected(first.id) <= store.versions.size()) {
      assertThat(repeated.outcome()).isNotEqualTo(Outcome.UNKNOWN);
    }
  }

  private static long expected(String id) {
    return id.charAt(1) % 3;
  }

  private static ConfigAcceptor acceptor(String id, Instant giveUpAt) {
    ConfigChange change = new ConfigChange.CreateFirm(id, new FirmSpec(0.1));
    return ConfigAcceptor.of(command(id, expected(id), change), 0, giveUpAt);
  }

  private static List<Attempt> attempts(Random random) {
    List<Attempt> attempts = new ArrayList<>();
    for (int i = 0; i < ATTEMPTS; i++) {
      String id = "c" + random.nextInt(5);
      Instant giveUpAt = NOW.plusMillis(random.nextInt(2000));
      attempts.add(new Attempt(id, acceptor(id, giveUpAt)));
    }
    return attempts;
  }

  private static void check(FaultyStore store, List<Attempt> attempts) {
    Map<String, Long> effects = new HashMap<>();
    for (int i = 0; i < store.versions.size(); i++) {
      ConfigDocument document = store.versions.get(i);
      assertThat(document.version()).isEqualTo(i + 1);
      ChangeRecord last = document.changes().get(document.changes().size() - 1);
      assertThat(effects.put(last.commandId(), last.version())).isNull();
    }
    Set<String> rejected = new HashSet<>();
    for (Attempt attempt : attempts) {
      Result result = Objects.requireNonNull(attempt.result, "an attempt did not end");
      Statistics.label("outcome").collect(result.outcome());
      if (result.outcome() == Outcome.ACCEPTED) {
        assertThat(effects).containsEntry(attempt.id, result.version());
      } else if (result.outcome() == Outcome.REJECTED) {
        rejected.add(attempt.id);
      }
    }
    Statistics.label("outcome")
        .coverage(
            coverage -> {
              for (Outcome outcome : Outcome.values()) {
                coverage.check(outcome).percentage(share -> share > 5);
              }
            });
    assertThat(effects).doesNotContainKeys(rejected.toArray(String[]::new));
  }
}
