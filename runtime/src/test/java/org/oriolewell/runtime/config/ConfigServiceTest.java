package org.oriolewell.runtime.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.config.ConfigAcceptor.Outcome;
import org.oriolewell.core.config.ConfigAcceptor.Result;
import org.oriolewell.core.config.ConfigChange;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.ConfigEditor;
import org.oriolewell.core.config.ConfigJson;
import org.oriolewell.core.config.FirmSpec;

/** Guards against store faults that keep processes from receiving or keeping a configuration. */
class ConfigServiceTest {
  private final FaultyStore store = new FaultyStore();

  static ConfigEditor.Command command(String id, long expectedVersion) {
    ConfigChange change = new ConfigChange.CreateFirm(id, new FirmSpec(0.001));
    return new ConfigEditor.Command(
        id, "elin", expectedVersion, "create firm " + id, List.of(change));
  }

  static void await(String awaitedCondition, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("timeout: %s", awaitedCondition).isLessThan(deadlineNanos);
      Thread.onSpinWait();
    }
  }

  private static Result submit(Fleet fleet, int entry, ConfigEditor.Command command)
      throws Exception {
    return fleet.entries().get(entry).service.submit(command).get(20, TimeUnit.SECONDS);
  }

  private static void awaitVersion(Fleet fleet, long version) {
    await(
        "version " + version + " everywhere",
        () -> fleet.processes().stream().allMatch(p -> p.service.version() == version));
  }

  // Guards against a change that doesn't reach a process, and against a watch by every process.
  @Test
  void acceptedChangeReachesEveryProcess() throws Exception {
    try (Fleet fleet = Fleet.start(store, 12, 12, 4, 1)) {
      assertThat(submit(fleet, 0, command("a", 0)).version()).isEqualTo(1);
      assertThat(submit(fleet, 5, command("b", 1)).version()).isEqualTo(2);
      awaitVersion(fleet, 2);
      await("three watches a region", () -> store.openWatchCount() == 9);
    }
  }

  // Guards against accepting two concurrent commands, and a rejection without the other's name.
  @Test
  void oneOfSeveralConcurrentCommandsIsAccepted() throws Exception {
    store.setAnswerDelay(Duration.ofMillis(20));
    try (Fleet fleet = Fleet.start(store, 4, 2, 2, 2)) {
      List<CompletableFuture<Result>> submissions =
          fleet.entries().stream()
              .map(entry -> entry.service.submit(command(entry.member.name(), 0)))
              .toList();
      List<Result> results = submissions.stream().map(CompletableFuture::join).toList();
      assertThat(results).filteredOn(r -> r.outcome() == Outcome.ACCEPTED).hasSize(1);
      assertThat(results)
          .filteredOn(r -> r.outcome() == Outcome.REJECTED)
          .hasSize(3)
          .allSatisfy(r -> assertThat(r.winner()).isNotNull());
      awaitVersion(fleet, 1);
    }
  }

  // Guards against a lost store answer that causes a false failure or a second change.
  @Test
  void lostAnswerIsSettledByCommandId() throws Exception {
    store.loseAnswers(1);
    try (Fleet fleet = Fleet.start(store, 3, 2, 2, 3)) {
      assertThat(submit(fleet, 0, command("a", 0)).outcome()).isEqualTo(Outcome.ACCEPTED);
      assertThat(submit(fleet, 1, command("a", 0)).version()).isEqualTo(1);
      assertThat(fleet.entries().get(2).service.find("a").get()).isPresent();
    }
  }

  // Guards against a store outage that stops the distribution or leads to a false outcome.
  @Test
  void storeOutageLeavesTheConfigurationInForce() throws Exception {
    try (Fleet fleet = Fleet.start(store, 4, 4, 3, 4)) {
      submit(fleet, 0, command("a", 0));
      store.setUnavailable(true);
      awaitVersion(fleet, 1);
      Fleet.Process newAgent = fleet.addAgent(2);
      await("a new agent has the document", () -> newAgent.service.version() == 1);
      assertThat(submit(fleet, 1, command("b", 1)).outcome()).isEqualTo(Outcome.UNKNOWN);
      store.setUnavailable(false);
      assertThat(submit(fleet, 2, command("b", 1)).version()).isEqualTo(2);
      awaitVersion(fleet, 2);
    }
  }

  // Guards against a restart of all processes that loses the configuration.
  @Test
  void restartedProcessesReadTheStore() throws Exception {
    try (Fleet fleet = Fleet.start(store, 3, 3, 2, 5)) {
      submit(fleet, 0, command("a", 0));
    }
    try (Fleet fleet = Fleet.start(store, 3, 3, 2, 6)) {
      awaitVersion(fleet, 1);
    }
    try (Fleet loneAgent = Fleet.start(store, 0, 1, 0, 7)) {
      awaitVersion(loneAgent, 1);
    }
  }

  // Guards against overwriting or adopting a document that this program can't read.
  @Test
  void unreadableDocumentIsNotOverwritten() throws Exception {
    try (Fleet fleet = Fleet.start(store, 3, 2, 2, 8)) {
      submit(fleet, 0, command("a", 0));
      awaitVersion(fleet, 1);
      byte[] newerSchema = "{\"schema\":2,\"version\":7}".getBytes(StandardCharsets.UTF_8);
      store.put(ConfigService.DOCUMENT_KEY, newerSchema);
      assertThat(submit(fleet, 1, command("b", 1)).outcome()).isEqualTo(Outcome.UNKNOWN);
      assertThat(store.get(ConfigService.DOCUMENT_KEY).get().orElseThrow().value())
          .isEqualTo(newerSchema);
      awaitVersion(fleet, 1);
    }
  }

  // Guards against adopting an old version when the store is restored from an old copy.
  @Test
  void versionsNeverDecrease() throws Exception {
    try (Fleet fleet = Fleet.start(store, 3, 2, 2, 9)) {
      submit(fleet, 0, command("a", 0));
      byte[] oldDocument = store.get(ConfigService.DOCUMENT_KEY).get().orElseThrow().value();
      submit(fleet, 0, command("b", 1));
      awaitVersion(fleet, 2);
      store.put(ConfigService.DOCUMENT_KEY, oldDocument);
      assertThat(submit(fleet, 1, command("c", 1)).outcome()).isEqualTo(Outcome.REJECTED);
      assertThat(submit(fleet, 1, command("c", 2)).outcome()).isEqualTo(Outcome.UNKNOWN);
      ConfigDocument stored =
          ConfigJson.readPlainOrCompressed(
              store.get(ConfigService.DOCUMENT_KEY).get().orElseThrow().value());
      assertThat(stored.version()).isEqualTo(1);
      awaitVersion(fleet, 2);
    }
  }
}
