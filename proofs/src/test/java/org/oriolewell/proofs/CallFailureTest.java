package org.oriolewell.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/**
 * Failures of real processes while permits are recorded. The services' own ledgers are the judge: a
 * permit that ran twice, or that ran although its caller was told that it did not, fails the test.
 */
class CallFailureTest {
  private static final int SERVICES = 3;
  private static final int CALLERS = 8;
  private static final Duration PAUSE = Duration.ofMillis(15);

  private final Map<String, List<String>> outcomes = new ConcurrentHashMap<>();
  private final AtomicInteger numbers = new AtomicInteger();
  private final AtomicBoolean ending = new AtomicBoolean();

  /** Guards against a second run when a caller repeats a permit at the other entry. */
  @Test
  void repeatedPermitRunsOnceAtEitherEntry() throws Exception {
    try (Site site = Site.start("repeated-permit", SERVICES)) {
      String key = newKey();

      String first = send(site, 0, key);
      String second = send(site, 1, key);

      assertThat(first).isEqualTo("answered");
      assertThat(second).isEqualTo("answered");
      assertThat(site.executions(key)).isEqualTo(1);
    }
  }

  /** Guards against a second run, or a false "not run", after an agent is killed under load. */
  @Test
  void killedAgentLeavesNoPermitRunTwice() throws Exception {
    try (Site site = Site.start("killed-agent", SERVICES)) {
      final CompletableFuture<Void> load = startLoad(site);
      final Fleet.Member owner = awaitOwner(site);
      owner.kill();
      awaitTakeover(site, owner);
      endLoad(load);

      assertLedgers(site);
    }
  }

  /** Guards against a paused owner that goes on after another agent took its shards over. */
  @Test
  void frozenAgentThatReturnsRunsNothingTwice() throws Exception {
    try (Site site = Site.start("frozen-agent", SERVICES)) {
      final CompletableFuture<Void> load = startLoad(site);
      final Fleet.Member owner = awaitOwner(site);
      owner.freeze();
      awaitTakeover(site, owner);
      owner.resume();
      awaitAnswers(outcomes.size() + 100);
      endLoad(load);

      assertLedgers(site);
    }
  }

  /** Guards against taking a write whose answer was lost for one that failed, under a kill. */
  @Test
  void lostStoreAnswersAndKilledAgentRunNothingTwice() throws Exception {
    try (Site site = Site.start("lost-answers", SERVICES)) {
      final CompletableFuture<Void> load = startLoad(site);
      final Fleet.Member owner = awaitOwner(site);
      site.storeFaults("{\"drop_answer\": {\"value\": true, \"count\": 6}}");
      awaitAnswers(outcomes.size() + 50);
      site.storeFaults("{\"drop_answer\": {\"value\": true, \"count\": 4}}");
      owner.kill();
      awaitTakeover(site, owner);
      endLoad(load);

      assertLedgers(site);
    }
  }

  /** Guards against idempotent stages that need the store, and against false refusals. */
  @Test
  void storeOutageStopsOnlyPermits() throws Exception {
    try (Site site = Site.start("store-outage", SERVICES)) {
      assertThat(send(site, 0, newKey())).isEqualTo("answered");
      site.storeFaults("{\"outage\": true}");

      final CompletableFuture<Void> load = startLoad(site);
      HttpResponse<String> draft =
          site.request(
              0,
              "{\"pipeline\":\"survey-draft\",\"workspace\":\"inspectors\","
                  + "\"deadline_ms\":9000,\"input\":{\"line\":7}}");
      endLoad(load);
      assertThat(draft.statusCode()).as(draft.body()).isEqualTo(200);
      assertLedgers(site);

      site.storeFaults("{\"clear\": true}");
      Fleet.await(
          Duration.ofSeconds(10),
          () -> "answered".equals(trySend(site, 0, newKey())),
          "a permit after the outage");
    }
  }

  /** Guards against a planned stop of an agent that cuts off or doubles a permit. */
  @Test
  void plannedStopOfAnAgentCutsOffNothing() throws Exception {
    try (Site site = Site.start("planned-stop", SERVICES)) {
      final CompletableFuture<Void> load = startLoad(site);
      final Fleet.Member owner = awaitOwner(site);
      assertThat(owner.stop(Duration.ofSeconds(30))).isTrue();
      awaitTakeover(site, owner);
      endLoad(load);

      assertThat(owner.logLines("SHARD_RELEASED")).isPositive();
      assertLedgers(site);
      assertThat(outcomes.values().stream().flatMap(List::stream))
          .as("outcomes of a planned stop")
          .doesNotContain("unknown");
    }
  }

  /** Returns an agent that owns a shard, once some permits were answered. */
  private Fleet.Member awaitOwner(Site site) {
    awaitAnswers(50);
    return site.serviceAgents.stream()
        .filter(agent -> agent.logLines("SHARD_TAKEN") > 0)
        .findFirst()
        .orElseThrow();
  }

  /** Waits until another agent has taken a shard over, and some permits more. */
  private void awaitTakeover(Site site, Fleet.Member former) {
    Fleet.await(
        Duration.ofSeconds(30),
        () ->
            site.serviceAgents.stream()
                .filter(agent -> agent != former)
                .anyMatch(agent -> agent.logLines("SHARD_TAKEN", "\"epoch\":2") > 0),
        "a takeover");
    awaitAnswers(outcomes.size() + 50);
  }

  private void endLoad(CompletableFuture<Void> load) throws Exception {
    ending.set(true);
    load.get();
  }

  /** Sends permits from several callers until the load is ended. */
  private CompletableFuture<Void> startLoad(Site site) {
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    List<CompletableFuture<Void>> loads = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      int entry = i % 2;
      loads.add(CompletableFuture.runAsync(() -> sendMany(site, entry), callers));
    }
    callers.shutdown();
    return CompletableFuture.allOf(loads.toArray(CompletableFuture[]::new));
  }

  /** Sends permits; each that isn't answered is sent once more through the other entry. */
  private void sendMany(Site site, int entry) {
    while (!ending.get()) {
      LockSupport.parkNanos(PAUSE.toNanos());
      String key = newKey();
      if (!"answered".equals(trySend(site, entry, key))) {
        trySend(site, 1 - entry, key);
      }
    }
  }

  private void awaitAnswers(int count) {
    Fleet.await(Duration.ofSeconds(60), () -> outcomes.size() >= count, count + " permits");
  }

  private String newKey() {
    return System.currentTimeMillis() + "-permit-" + numbers.incrementAndGet();
  }

  private String trySend(Site site, int entry, String key) {
    try {
      return send(site, entry, key);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private String send(Site site, int entry, String key) throws Exception {
    JsonNode answer = Fleet.json(site.request(entry, Site.permit(key)).body());
    String outcome = answer.path("outcome").asText("none");
    outcomes.computeIfAbsent(key, absent -> new ArrayList<>()).add(outcome);
    return outcome;
  }

  private void assertLedgers(Site site) throws Exception {
    for (Map.Entry<String, List<String>> entry : outcomes.entrySet()) {
      int runs = site.executions(entry.getKey());
      String what = entry.getKey() + " with the outcomes " + entry.getValue();
      assertThat(runs).as(what).isLessThanOrEqualTo(1);
      assertThat(entry.getValue()).as(what).allMatch(outcome -> !outcome.equals("none"));
      if (entry.getValue().contains("answered")) {
        assertThat(runs).as(what).isEqualTo(1);
      }
      if (entry.getValue().stream().allMatch(outcome -> outcome.equals("not_run"))) {
        assertThat(runs).as(what).isZero();
      }
    }
    assertThat(outcomes.values().stream().filter(list -> list.contains("answered")))
        .as("permits answered in spite of the failure")
        .isNotEmpty();
  }
}
