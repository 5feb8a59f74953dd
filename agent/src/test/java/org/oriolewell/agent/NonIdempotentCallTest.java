package org.oriolewell.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oriolewell.core.call.ShardCodec;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.ConfigJson;
import org.oriolewell.core.config.PoolSpec;
import org.oriolewell.core.config.UpstreamSpec;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.Message.Outcome;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/** Guards against a second run of a key and against untrue reports of its outcome. */
class NonIdempotentCallTest {
  private static final int NOT_EXECUTED = 429;

  private FakeUpstream upstream;
  private FakeStore store;
  private Agent agent;
  private TestEntry entry;
  private long version;

  @BeforeEach
  void start() throws Exception {
    upstream = FakeUpstream.start();
    store = FakeStore.start();
    store.set("config/document", ConfigJson.write(configuration(1, false)));
    agent = agent();
    entry = connect(agent);
  }

  @AfterEach
  void stop() {
    entry.close();
    agent.close();
    upstream.close();
    store.close();
  }

  /** One shard, so that every key belongs to it. */
  private static ConfigDocument configuration(long version, boolean draining) {
    return new ConfigDocument(
        ConfigDocument.SCHEMA,
        version,
        Map.of(),
        Map.of(),
        Map.of(
            "pool-1",
            new PoolSpec(PoolSpec.Kind.SERVICE, 1, List.of(NOT_EXECUTED), false, null, List.of())),
        Map.of(),
        Map.of("host-1", new UpstreamSpec(draining, null, List.of())),
        List.of());
  }

  private Agent agent() throws Exception {
    return AgentFixture.start(
        "service",
        upstream.url(),
        "store.url = \"" + store.url() + "\"",
        "calls.probe_timeout_millis = 2000",
        "stop.max_millis = 2000",
        "stop.release_max_millis = 500");
  }

  /** Connects once the agent has read the configuration. */
  private static TestEntry connect(Agent agent) throws Exception {
    TestEntry connected = TestEntry.connect(agent.wireAddress());
    Message.Pong pong;
    do {
      connected.send(new Message.Ping(1, 0, Message.Load.NONE));
      pong = connected.next(Message.Pong.class);
    } while (pong.configVersion() == 0);
    return connected;
  }

  private static String key(String text) {
    return Instant.now().toEpochMilli() + "-" + text;
  }

  private static void grant(TestEntry from, long stream) throws Exception {
    assertThat(from.next(Message.Start.class).stream()).isEqualTo(stream);
    from.send(new Message.Grant(stream));
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("time of the wait").isLessThan(end);
      Thread.onSpinWait();
    }
  }

  /** A caller that retries with its key must get the first answer and no second run. */
  @Test
  void retryGetsTheFirstAnswerWithoutSecondRun() throws Exception {
    String key = key("a");
    entry.send(TestEntry.keyed(1, 5000, key));
    grant(entry, 1);
    assertThat(entry.next(Message.Result.class).payload()).isNotEmpty();

    entry.send(TestEntry.keyed(2, 5000, key));

    assertThat(entry.next(Message.Result.class).stream()).isEqualTo(2);
    assertThat(upstream.calls).hasSize(1);
  }

  /** A call without permission must not run: its entry may have reported "not run". */
  @Test
  void deniedCallDoesNotRun() throws Exception {
    entry.send(TestEntry.keyed(1, 5000, key("a")));
    entry.next(Message.Start.class);
    entry.send(new Message.Deny(1));

    Message.Refused refused = entry.next(Message.Refused.class);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(upstream.calls).isEmpty();
  }

  /** A reset after the request was sent proves nothing, and the key must never run again. */
  @Test
  void droppedAnswerIsUnknownAlsoForRetries() throws Exception {
    upstream.answer =
        call -> {
          call.startStream(200, "application/json");
          call.write("{").thenRun(() -> call.abort(new IOException("dropped")));
          return new CompletableFuture<>();
        };
    String key = key("a");
    entry.send(TestEntry.keyed(1, 5000, key));
    grant(entry, 1);
    Message.Refused refused = entry.next(Message.Refused.class);
    assertThat(refused.kind()).isEqualTo(RefusalKind.OUTCOME_UNKNOWN);
    assertThat(refused.outcome()).isEqualTo(Outcome.UNKNOWN);

    entry.send(TestEntry.keyed(2, 5000, key));
    assertThat(entry.next(Message.Refused.class).outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(upstream.calls).hasSize(1);
  }

  /** A status that means "refused before execution" lets the key run later. */
  @Test
  void refusedBeforeExecutionIsNotRunAndServerErrorIsUnknown() throws Exception {
    upstream.answer = call -> FakeUpstream.reply(NOT_EXECUTED, Map.of());
    entry.send(TestEntry.keyed(1, 5000, key("a")));
    grant(entry, 1);
    assertThat(entry.next(Message.Refused.class).outcome()).isEqualTo(Outcome.NOT_RUN);

    upstream.answer = call -> FakeUpstream.reply(500, Map.of());
    entry.send(TestEntry.keyed(2, 5000, key("b")));
    grant(entry, 2);
    assertThat(entry.next(Message.Refused.class).outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  /** An answer against the protocol proves a run without telling its result. */
  @Test
  void nonsenseAnswerIsUpstreamFailed() throws Exception {
    upstream.answer = call -> FakeUpstream.reply(200, Map.of("nonsense", true));
    entry.send(TestEntry.keyed(1, 5000, key("a")));
    grant(entry, 1);
    Message.Refused refused = entry.next(Message.Refused.class);
    assertThat(refused.kind()).isEqualTo(RefusalKind.UPSTREAM_FAILED);
    assertThat(refused.outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  /** A granted call outlives its dialer, or the key's outcome would be lost. */
  @Test
  void grantedCallOutlivesItsDialerAndItsOutcomeIsRecorded() throws Exception {
    CompletableFuture<HttpReply> answer = new CompletableFuture<>();
    upstream.answer = call -> answer;
    String key = key("a");
    entry.send(TestEntry.keyed(1, 5000, key));
    grant(entry, 1);
    upstream.awaitCall();
    entry.close();
    try (TestEntry other = connect(agent)) {
      other.send(TestEntry.keyed(2, 5000, key));
      answer.complete(HttpReply.json(200, Map.of("output", "done")));
      assertThat(other.next(Message.Result.class).stream()).isEqualTo(2);
    }
    assertThat(upstream.calls).isEmpty();
  }

  /** With the store away calls run until the window ends, then are refused as not run. */
  @Test
  void storeOutageRefusesAsNotRunOnceTheWindowHasEnded() throws Exception {
    entry.send(TestEntry.keyed(1, 5000, key("a")));
    grant(entry, 1);
    entry.next(Message.Result.class);
    store.away = true;

    Message last = new Message.Cancel(0);
    long stream = 2;
    long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
    while (!(last instanceof Message.Refused) && System.nanoTime() < end) {
      entry.send(TestEntry.keyed(stream, 5000, key("b" + stream)));
      last = entry.next(Message.class);
      if (last instanceof Message.Start) {
        entry.send(new Message.Grant(stream));
        last = entry.next(Message.class);
      }
      stream++;
    }
    assertThat(stream).isGreaterThan(3);
    Message.Refused refused = (Message.Refused) last;
    assertThat(refused.kind()).isEqualTo(RefusalKind.STORE_UNAVAILABLE);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);

    store.away = false;
    await(() -> shardsOwned() == 1);
  }

  private int shardsOwned() {
    entry.send(new Message.Ping(1, 0, Message.Load.NONE));
    try {
      return entry.next(Message.Pong.class).shards().size();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A lost answer of the store must neither lose the shard nor block its calls. */
  @Test
  void lostAnswerOfTheStoreIsSettledByTheWriteId() throws Exception {
    store.lostAnswers.set(1);
    entry.send(TestEntry.keyed(1, 5000, key("a")));
    grant(entry, 1);
    assertThat(entry.next(Message.Result.class).stream()).isEqualTo(1);
  }

  /** Two live agents must not take a shard from each other. */
  @Test
  void liveOwnerKeepsItsShardAndTheOtherAgentNamesIt() throws Exception {
    entry.send(TestEntry.keyed(1, 5000, key("a")));
    grant(entry, 1);
    entry.next(Message.Result.class);
    Agent second = agent();
    try (TestEntry other = connect(second)) {
      other.send(TestEntry.keyed(1, 5000, key("b")));
      Message.Refused refused = other.next(Message.Refused.class);
      assertThat(refused.kind()).isEqualTo(RefusalKind.NOT_OWNER);
      assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(refused.detail()).contains(":" + agent.wireAddress().getPort());
    } finally {
      second.close();
    }
  }

  /** A planned stop must leave no key whose outcome is unknown. */
  @Test
  void plannedStopReleasesItsShardsForTheNextOwner() throws Exception {
    String key = key("a");
    entry.send(TestEntry.keyed(1, 5000, key));
    grant(entry, 1);
    entry.next(Message.Result.class);
    final String late = key("late");
    agent.close();
    assertThat(ShardCodec.decode(store.bytes("calls/pool-1/0")).owner()).isNull();

    Agent second = agent();
    try (TestEntry other = connect(second)) {
      other.send(TestEntry.keyed(1, 5000, key));
      assertThat(other.next(Message.Result.class).stream()).isEqualTo(1);
      other.send(TestEntry.keyed(2, 5000, late));
      grant(other, 2);
      assertThat(other.next(Message.Result.class).stream()).isEqualTo(2);
    } finally {
      second.close();
    }
  }

  /** An owner that vanished may have run keys of its window, which must not run again. */
  @Test
  void vanishedOwnerLeavesItsWindowUnknownAndNewKeysRun() throws Exception {
    entry.send(TestEntry.keyed(1, 5000, key("a")));
    grant(entry, 1);
    entry.next(Message.Result.class);
    final String inOldWindow = key("b");
    store.away = true;
    agent.close();
    store.away = false;

    Agent second = agent();
    try (TestEntry other = connect(second)) {
      other.send(new Message.Settle(9, "workspace-1", "pipeline-1", 0, "operation-1", inOldWindow));
      assertThat(other.next(Message.Settled.class).outcome()).isEqualTo(Outcome.UNKNOWN);
      long afterTheWindow = Instant.now().toEpochMilli() + 1600;
      await(() -> Instant.now().toEpochMilli() >= afterTheWindow);
      other.send(TestEntry.keyed(1, 5000, key("c")));
      grant(other, 1);
      assertThat(other.next(Message.Result.class).stream()).isEqualTo(1);
    } finally {
      second.close();
    }
  }

  /** A settled key must not run when its delayed call arrives. */
  @Test
  void settledKeyNeverRuns() throws Exception {
    String key = key("a");
    entry.send(new Message.Settle(9, "workspace-1", "pipeline-1", 0, "operation-1", key));
    assertThat(entry.next(Message.Settled.class).outcome()).isEqualTo(Outcome.NOT_RUN);

    entry.send(TestEntry.keyed(1, 5000, key));

    assertThat(entry.next(Message.Refused.class).outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(upstream.calls).isEmpty();
  }

  /** A drain by configuration must let calls finish, refuse new ones and be withdrawable. */
  @Test
  void configuredDrainFinishesCallsAndCanBeWithdrawn() throws Exception {
    CompletableFuture<HttpReply> answer = new CompletableFuture<>();
    upstream.answer = call -> answer;
    entry.send(TestEntry.keyed(1, 5000, key("a")));
    grant(entry, 1);
    upstream.awaitCall();

    store.set("config/document", ConfigJson.write(configuration(2, true)));
    version = 2;
    await(() -> draining());
    entry.send(TestEntry.keyed(2, 5000, key("b")));
    assertThat(entry.next(Message.Refused.class).kind()).isEqualTo(RefusalKind.STOPPING);
    answer.complete(HttpReply.json(200, Map.of("output", 1)));
    assertThat(entry.next(Message.Result.class).stream()).isEqualTo(1);
    await(() -> shardsOwned() == 0);

    store.set("config/document", ConfigJson.write(configuration(3, false)));
    version = 3;
    await(() -> !draining());
    entry.send(TestEntry.keyed(3, 5000, key("c")));
    grant(entry, 3);
    assertThat(entry.next(Message.Result.class).stream()).isEqualTo(3);
  }

  private boolean draining() {
    entry.send(new Message.Ping(1, version, Message.Load.NONE));
    try {
      return entry.next(Message.Pong.class).load().draining();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
