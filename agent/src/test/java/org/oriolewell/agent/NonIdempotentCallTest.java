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

/** Tests that a non-idempotent call runs at most once and that its reported outcome is true. */
class NonIdempotentCallTest {
  private static final int NOT_EXECUTED_STATUS = 429;

  private FakeUpstream upstream;
  private FakeStore store;
  private Agent agent;
  private TestEntry entry;
  private long expectedConfigVersion;

  @BeforeEach
  void start() throws Exception {
    upstream = FakeUpstream.start();
    store = FakeStore.start();
    store.set("config/document", ConfigJson.write(configuration(1, false)));
    agent = startAgent();
    entry = connect(agent);
  }

  @AfterEach
  void stop() {
    entry.close();
    agent.close();
    upstream.close();
    store.close();
  }

  /** Returns a configuration whose pool has a single shard, so that every key belongs to it. */
  private static ConfigDocument configuration(long version, boolean draining) {
    return new ConfigDocument(
        ConfigDocument.SCHEMA,
        version,
        Map.of(),
        Map.of(),
        Map.of(
            "pool-1",
            new PoolSpec(
                PoolSpec.Kind.SERVICE, 1, List.of(NOT_EXECUTED_STATUS), false, null, List.of())),
        Map.of(),
        Map.of("host-1", new UpstreamSpec(draining, null, List.of())),
        List.of());
  }

  private Agent startAgent() throws Exception {
    return AgentFixture.start(
        "service",
        upstream.url(),
        "store.url = \"" + store.url() + "\"",
        "calls.probe_timeout_millis = 2000",
        "stop.max_millis = 2000",
        "stop.release_max_millis = 500");
  }

  /** Connects to an agent and waits until the agent has read the configuration. */
  private static TestEntry connect(Agent agent) throws Exception {
    TestEntry connectedEntry = TestEntry.connect(agent.wireAddress());
    Message.Pong pong;
    do {
      connectedEntry.send(new Message.Ping(1, 0, Message.Load.NONE));
      pong = connectedEntry.nextMessage(Message.Pong.class);
    } while (pong.configVersion() == 0);
    return connectedEntry;
  }

  private static String newKey(String suffix) {
    return Instant.now().toEpochMilli() + "-" + suffix;
  }

  private static void grant(TestEntry testEntry, long stream) throws Exception {
    assertThat(testEntry.nextMessage(Message.Start.class).stream()).isEqualTo(stream);
    testEntry.send(new Message.Grant(stream));
  }

  private static void awaitTrue(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + Duration.ofSeconds(10).toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("time of the wait").isLessThan(deadlineNanos);
      Thread.onSpinWait();
    }
  }

  /** Guards against a second run of a call that is retried with the same idempotency key. */
  @Test
  void retryGetsTheFirstAnswerWithoutSecondRun() throws Exception {
    String key = newKey("a");
    entry.send(TestEntry.nonIdempotentCall(1, 5000, key));
    grant(entry, 1);
    assertThat(entry.nextMessage(Message.Result.class).payload()).isNotEmpty();

    entry.send(TestEntry.nonIdempotentCall(2, 5000, key));

    assertThat(entry.nextMessage(Message.Result.class).stream()).isEqualTo(2);
    assertThat(upstream.receivedCalls).hasSize(1);
  }

  /** Guards against a run of a denied call, which the entry may have reported as not run. */
  @Test
  void deniedCallDoesNotRun() throws Exception {
    entry.send(TestEntry.nonIdempotentCall(1, 5000, newKey("a")));
    entry.nextMessage(Message.Start.class);
    entry.send(new Message.Deny(1));

    Message.Refused refused = entry.nextMessage(Message.Refused.class);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(upstream.receivedCalls).isEmpty();
  }

  /** Guards against a second run of a key whose answer was lost by a reset connection. */
  @Test
  void droppedAnswerIsUnknownAlsoForRetries() throws Exception {
    upstream.answerCall =
        call -> {
          call.startStream(200, "application/json");
          call.write("{").thenRun(() -> call.abort(new IOException("dropped")));
          return new CompletableFuture<>();
        };
    String key = newKey("a");
    entry.send(TestEntry.nonIdempotentCall(1, 5000, key));
    grant(entry, 1);
    Message.Refused refused = entry.nextMessage(Message.Refused.class);
    assertThat(refused.kind()).isEqualTo(RefusalKind.OUTCOME_UNKNOWN);
    assertThat(refused.outcome()).isEqualTo(Outcome.UNKNOWN);

    entry.send(TestEntry.nonIdempotentCall(2, 5000, key));
    assertThat(entry.nextMessage(Message.Refused.class).outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(upstream.receivedCalls).hasSize(1);
  }

  /**
   * Guards against a wrong outcome of error statuses; only some prove that the call did not run.
   */
  @Test
  void refusedBeforeExecutionIsNotRunAndServerErrorIsUnknown() throws Exception {
    upstream.answerCall = call -> FakeUpstream.reply(NOT_EXECUTED_STATUS, Map.of());
    entry.send(TestEntry.nonIdempotentCall(1, 5000, newKey("a")));
    grant(entry, 1);
    assertThat(entry.nextMessage(Message.Refused.class).outcome()).isEqualTo(Outcome.NOT_RUN);

    upstream.answerCall = call -> FakeUpstream.reply(500, Map.of());
    entry.send(TestEntry.nonIdempotentCall(2, 5000, newKey("b")));
    grant(entry, 2);
    assertThat(entry.nextMessage(Message.Refused.class).outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  /** Guards against an invalid answer being passed on; the call may have run with any result. */
  @Test
  void invalidAnswerIsUpstreamFailed() throws Exception {
    upstream.answerCall = call -> FakeUpstream.reply(200, Map.of("nonsense", true));
    entry.send(TestEntry.nonIdempotentCall(1, 5000, newKey("a")));
    grant(entry, 1);
    Message.Refused refused = entry.nextMessage(Message.Refused.class);
    assertThat(refused.kind()).isEqualTo(RefusalKind.UPSTREAM_FAILED);
    assertThat(refused.outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  /** Guards against the loss of a key's outcome when the dialer disconnects during the call. */
  @Test
  void grantedCallOutlivesItsDialerAndItsOutcomeIsRecorded() throws Exception {
    CompletableFuture<HttpReply> answer = new CompletableFuture<>();
    upstream.answerCall = call -> answer;
    String key = newKey("a");
    entry.send(TestEntry.nonIdempotentCall(1, 5000, key));
    grant(entry, 1);
    upstream.awaitCall();
    entry.close();
    try (TestEntry otherEntry = connect(agent)) {
      otherEntry.send(TestEntry.nonIdempotentCall(2, 5000, key));
      answer.complete(HttpReply.json(200, Map.of("output", "done")));
      assertThat(otherEntry.nextMessage(Message.Result.class).stream()).isEqualTo(2);
    }
    assertThat(upstream.receivedCalls).isEmpty();
  }

  /**
   * Guards against calls without a recorded window: once it ended during an outage none may run.
   */
  @Test
  void storeOutageRefusesAsNotRunOnceTheWindowHasEnded() throws Exception {
    entry.send(TestEntry.nonIdempotentCall(1, 5000, newKey("a")));
    grant(entry, 1);
    entry.nextMessage(Message.Result.class);
    store.unavailable = true;

    Message lastMessage = new Message.Cancel(0);
    long stream = 2;
    long deadlineNanos = System.nanoTime() + Duration.ofSeconds(10).toNanos();
    while (!(lastMessage instanceof Message.Refused) && System.nanoTime() < deadlineNanos) {
      entry.send(TestEntry.nonIdempotentCall(stream, 5000, newKey("b" + stream)));
      lastMessage = entry.nextMessage(Message.class);
      if (lastMessage instanceof Message.Start) {
        entry.send(new Message.Grant(stream));
        lastMessage = entry.nextMessage(Message.class);
      }
      stream++;
    }
    assertThat(stream).isGreaterThan(3);
    Message.Refused refused = (Message.Refused) lastMessage;
    assertThat(refused.kind()).isEqualTo(RefusalKind.STORE_UNAVAILABLE);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);

    store.unavailable = false;
    awaitTrue(() -> ownedShardCount() == 1);
  }

  private int ownedShardCount() {
    entry.send(new Message.Ping(1, 0, Message.Load.NONE));
    try {
      return entry.nextMessage(Message.Pong.class).shards().size();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Guards against the loss of a shard, or blocked calls, after the store's answer was lost. */
  @Test
  void lostAnswerOfTheStoreIsSettledByTheWriteId() throws Exception {
    store.answersToLose.set(1);
    entry.send(TestEntry.nonIdempotentCall(1, 5000, newKey("a")));
    grant(entry, 1);
    assertThat(entry.nextMessage(Message.Result.class).stream()).isEqualTo(1);
  }

  /** Guards against two live agents that take a shard from each other in turn. */
  @Test
  void liveOwnerKeepsItsShardAndTheOtherAgentNamesIt() throws Exception {
    entry.send(TestEntry.nonIdempotentCall(1, 5000, newKey("a")));
    grant(entry, 1);
    entry.nextMessage(Message.Result.class);
    Agent nextAgent = startAgent();
    try (TestEntry otherEntry = connect(nextAgent)) {
      otherEntry.send(TestEntry.nonIdempotentCall(1, 5000, newKey("b")));
      Message.Refused refused = otherEntry.nextMessage(Message.Refused.class);
      assertThat(refused.kind()).isEqualTo(RefusalKind.NOT_OWNER);
      assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(refused.detail()).contains(":" + agent.wireAddress().getPort());
    } finally {
      nextAgent.close();
    }
  }

  /** Guards against keys whose outcome is unknown after a planned stop of the shard's owner. */
  @Test
  void plannedStopReleasesItsShardsForTheNextOwner() throws Exception {
    String key = newKey("a");
    entry.send(TestEntry.nonIdempotentCall(1, 5000, key));
    grant(entry, 1);
    entry.nextMessage(Message.Result.class);
    final String laterKey = newKey("late");
    agent.close();
    assertThat(ShardCodec.decode(store.bytes("calls/pool-1/0")).owner()).isNull();

    Agent nextAgent = startAgent();
    try (TestEntry otherEntry = connect(nextAgent)) {
      otherEntry.send(TestEntry.nonIdempotentCall(1, 5000, key));
      assertThat(otherEntry.nextMessage(Message.Result.class).stream()).isEqualTo(1);
      otherEntry.send(TestEntry.nonIdempotentCall(2, 5000, laterKey));
      grant(otherEntry, 2);
      assertThat(otherEntry.nextMessage(Message.Result.class).stream()).isEqualTo(2);
    } finally {
      nextAgent.close();
    }
  }

  /** Guards against a second run of keys that an owner may have run before it crashed. */
  @Test
  void vanishedOwnerLeavesItsWindowUnknownAndNewKeysRun() throws Exception {
    entry.send(TestEntry.nonIdempotentCall(1, 5000, newKey("a")));
    grant(entry, 1);
    entry.nextMessage(Message.Result.class);
    final String keyInOldWindow = newKey("b");
    store.unavailable = true;
    agent.close();
    store.unavailable = false;

    Agent nextAgent = startAgent();
    try (TestEntry otherEntry = connect(nextAgent)) {
      otherEntry.send(
          new Message.Settle(9, "workspace-1", "pipeline-1", 0, "operation-1", keyInOldWindow));
      assertThat(otherEntry.nextMessage(Message.Settled.class).outcome())
          .isEqualTo(Outcome.UNKNOWN);
      long windowEndMillis = Instant.now().toEpochMilli() + 1600;
      awaitTrue(() -> Instant.now().toEpochMilli() >= windowEndMillis);
      otherEntry.send(TestEntry.nonIdempotentCall(1, 5000, newKey("c")));
      grant(otherEntry, 1);
      assertThat(otherEntry.nextMessage(Message.Result.class).stream()).isEqualTo(1);
    } finally {
      nextAgent.close();
    }
  }

  /** Guards against a run of a key that was settled as not run before its call arrived. */
  @Test
  void settledKeyNeverRuns() throws Exception {
    String key = newKey("a");
    entry.send(new Message.Settle(9, "workspace-1", "pipeline-1", 0, "operation-1", key));
    assertThat(entry.nextMessage(Message.Settled.class).outcome()).isEqualTo(Outcome.NOT_RUN);

    entry.send(TestEntry.nonIdempotentCall(1, 5000, key));

    assertThat(entry.nextMessage(Message.Refused.class).outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(upstream.receivedCalls).isEmpty();
  }

  /** Guards against a configured drain that interrupts calls or can't be withdrawn. */
  @Test
  void configuredDrainFinishesCallsAndCanBeWithdrawn() throws Exception {
    CompletableFuture<HttpReply> answer = new CompletableFuture<>();
    upstream.answerCall = call -> answer;
    entry.send(TestEntry.nonIdempotentCall(1, 5000, newKey("a")));
    grant(entry, 1);
    upstream.awaitCall();

    store.set("config/document", ConfigJson.write(configuration(2, true)));
    expectedConfigVersion = 2;
    awaitTrue(() -> reportsDraining());
    entry.send(TestEntry.nonIdempotentCall(2, 5000, newKey("b")));
    assertThat(entry.nextMessage(Message.Refused.class).kind()).isEqualTo(RefusalKind.STOPPING);
    answer.complete(HttpReply.json(200, Map.of("output", 1)));
    assertThat(entry.nextMessage(Message.Result.class).stream()).isEqualTo(1);
    awaitTrue(() -> ownedShardCount() == 0);

    store.set("config/document", ConfigJson.write(configuration(3, false)));
    expectedConfigVersion = 3;
    awaitTrue(() -> !reportsDraining());
    entry.send(TestEntry.nonIdempotentCall(3, 5000, newKey("c")));
    grant(entry, 3);
    assertThat(entry.nextMessage(Message.Result.class).stream()).isEqualTo(3);
  }

  private boolean reportsDraining() {
    entry.send(new Message.Ping(1, expectedConfigVersion, Message.Load.NONE));
    try {
      return entry.nextMessage(Message.Pong.class).load().draining();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
