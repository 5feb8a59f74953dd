package org.oriolewell.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.wire.Message;

/** Guards against a second run of a non-idempotent call and against untruthful outcomes. */
class NonIdempotentTest {
  private static final String KEY = "1764820800000-k1";
  private static final String PAY = ",\"deadline_ms\":3000,\"idempotency_key\":\"" + KEY + "\"";
  private static final String SHARD = "calls/ledgers/0";

  /** Asks START and answers after GRANT. */
  private static final FakeAgent.Script OWNER =
      (agent, from, message) -> {
        if (message instanceof Message.Call call) {
          from.send(new Message.Start(call.stream(), 1));
        } else if (message instanceof Message.Grant grant) {
          agent.answer(from, grant.stream(), "{\"paid\":true}");
        }
      };

  private static final FakeAgent.Script NOTHING = (agent, from, message) -> {};

  private static FakeAgent.Script refusing(Message.RefusalKind kind, String detail) {
    return (agent, from, message) -> {
      if (message instanceof Message.Call call) {
        agent.refuse(from, call.stream(), kind, Message.Outcome.NOT_RUN, detail);
      }
    };
  }

  private static FakeAgent owner(String name, FakeAgent.Script script) {
    FakeAgent agent = FakeAgent.start(name, "ledgers", script);
    agent.shards = Map.of(SHARD, 1L);
    return agent;
  }

  private static void assertProblem(
      HttpResponse<String> response, int status, String kind, String outcome) {
    JsonNode body = TestBed.json(response);
    assertThat(body.path("type").asText()).isEqualTo("urn:oriolewell:problem:" + kind);
    assertThat(body.path("outcome").asText()).isEqualTo(outcome);
    assertThat(response.statusCode()).isEqualTo(status);
  }

  @Test
  void callGoesToTheOwnerAndRunsAfterGrant() throws Exception {
    try (FakeAgent other = FakeAgent.start("led-1", "ledgers", NOTHING);
        FakeAgent owner = owner("led-2", OWNER);
        TestBed bed = TestBed.start("", other, owner)) {
      HttpResponse<String> response = bed.post(TestBed.body("payout", PAY));

      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(TestBed.json(response).path("output").path("paid").asBoolean()).isTrue();
      assertThat(owner.received(Message.Call.class).get(0).key()).isEqualTo(KEY);
      assertThat(other.received(Message.Call.class)).isEmpty();
    }
  }

  /** Before GRANT nothing ran, so another agent can take the call. */
  @Test
  void agentKilledBeforeStartIsReplaced() throws Exception {
    try (FakeAgent dying = owner("led-1", (agent, from, message) -> agent.cut());
        FakeAgent other = FakeAgent.start("led-2", "ledgers", OWNER);
        TestBed bed = TestBed.start("", dying, other)) {
      assertThat(bed.post(TestBed.body("payout", PAY)).statusCode()).isEqualTo(200);
      assertThat(dying.received(Message.Grant.class)).isEmpty();
    }
  }

  /** After GRANT the call may have run; a retry could run it twice. */
  @Test
  void agentKilledAfterGrantIsUnknownAndNotRetried() throws Exception {
    FakeAgent.Script dying =
        (agent, from, message) -> {
          if (message instanceof Message.Grant) {
            agent.cut();
          } else {
            OWNER.on(agent, from, message);
          }
        };
    try (FakeAgent owner = owner("led-1", dying);
        FakeAgent other = FakeAgent.start("led-2", "ledgers", OWNER);
        TestBed bed = TestBed.start("", owner, other)) {
      HttpResponse<String> response = bed.post(TestBed.body("payout", PAY));

      assertProblem(response, 502, "outcome-unknown", "unknown");
      assertThat(other.received(Message.Call.class)).isEmpty();
    }
  }

  /**
   * A call that waits in the agent past the deadline is reported as not run, so it must not run.
   */
  @Test
  void deadlinePassingInTheQueueIsNotRunAndLaterStartIsDenied() throws Exception {
    try (FakeAgent owner = owner("led-1", NOTHING);
        TestBed bed = TestBed.start("", owner)) {
      HttpResponse<String> response = bed.post(TestBed.body("payout", PAY.replace("3000", "100")));

      assertProblem(response, 504, "deadline-exceeded", "not_run");
      TestBed.await(() -> !owner.received(Message.Cancel.class).isEmpty());
      owner.send(new Message.Start(owner.received(Message.Call.class).get(0).stream(), 1));
      TestBed.await(() -> !owner.received(Message.Deny.class).isEmpty());
      assertThat(owner.received(Message.Grant.class)).isEmpty();
    }
  }

  /** A hanging granted call must end as unknown, and its late result must reach nobody. */
  @Test
  void deadlineAfterGrantIsUnknownAndLateResultHasNoEffect() throws Exception {
    try (FakeAgent owner =
            owner(
                "led-1",
                (agent, from, message) -> {
                  if (message instanceof Message.Call call) {
                    from.send(new Message.Start(call.stream(), 1));
                  }
                });
        TestBed bed = TestBed.start("", owner)) {
      HttpResponse<String> response = bed.post(TestBed.body("payout", PAY.replace("3000", "100")));
      assertProblem(response, 504, "deadline-exceeded", "unknown");
      assertThat(owner.received(Message.Cancel.class)).isEmpty();

      owner.script(OWNER);
      long late = owner.received(Message.Call.class).get(0).stream();
      owner.send(new Message.Result(late, new byte[] {'1'}, 0, owner.load()));
      owner.send(new Message.Result(late, new byte[] {'1'}, 0, owner.load()));
      HttpResponse<String> next = bed.post(TestBed.body("payout", PAY));
      assertThat(TestBed.json(next).path("output").path("paid").asBoolean()).isTrue();
    }
  }

  /** The entry may know an old owner; the refusing agent names the new one. */
  @Test
  void notOwnerIsRetriedAtTheNamedOwner() throws Exception {
    FakeAgent owner = FakeAgent.start("led-2", "ledgers", OWNER);
    try (FakeAgent stale =
            owner("led-1", refusing(Message.RefusalKind.NOT_OWNER, "owner is led-2"));
        owner;
        TestBed bed = TestBed.start("", stale, owner)) {
      assertThat(bed.post(TestBed.body("payout", PAY)).statusCode()).isEqualTo(200);
    }
  }

  /** A short store outage or a drain must not fail calls that have time left. */
  @Test
  void storeOutageAndDrainAreWaitedOut() throws Exception {
    AtomicInteger calls = new AtomicInteger();
    FakeAgent.Script recovering =
        (agent, from, message) -> {
          boolean refuse = message instanceof Message.Call && calls.incrementAndGet() < 4;
          (refuse ? refusing(Message.RefusalKind.STORE_UNAVAILABLE, "store away") : OWNER)
              .on(agent, from, message);
        };
    try (FakeAgent owner = owner("led-1", recovering);
        TestBed bed = TestBed.start("retries.burst = 0", owner)) {
      assertThat(bed.post(TestBed.body("payout", PAY)).statusCode()).isEqualTo(200);
    }
  }

  /** A key of the caller's may be settled, so only the caller may decide on another key. */
  @Test
  void refusedCallersKeyIsNotReplaced() throws Exception {
    try (FakeAgent owner =
            owner("led-1", refusing(Message.RefusalKind.UPSTREAM_FAILED, "connection refused"));
        TestBed bed = TestBed.start("", owner)) {
      assertProblem(bed.post(TestBed.body("payout", PAY)), 502, "upstream-failed", "not_run");
      assertThat(owner.received(Message.Call.class)).hasSize(1);
    }
  }

  /** A result that can't be read shows that the call ran, so it must not be called not run. */
  @Test
  void nonsenseFromTheOwnerIsUnknown() throws Exception {
    FakeAgent.Script nonsense =
        (agent, from, message) -> {
          if (message instanceof Message.Grant grant) {
            agent.answer(from, grant.stream(), "{\"paid\":");
          } else {
            OWNER.on(agent, from, message);
          }
        };
    try (FakeAgent owner = owner("led-1", nonsense);
        TestBed bed = TestBed.start("", owner)) {
      assertProblem(bed.post(TestBed.body("payout", PAY)), 502, "outcome-unknown", "unknown");
    }
  }

  /** A key that was used with another body must not get the other body's answer. */
  @Test
  void keyConflictIsReported() throws Exception {
    try (FakeAgent owner = owner("led-1", refusing(Message.RefusalKind.KEY_CONFLICT, "other"));
        TestBed bed = TestBed.start("", owner)) {
      assertProblem(bed.post(TestBed.body("payout", PAY)), 422, "key-conflict", "not_run");
    }
  }

  /** Fingerprints must depend on the input only, not on the order of its members. */
  @Test
  void fingerprintIgnoresTheOrderOfMembers() throws Exception {
    try (FakeAgent owner = owner("led-1", OWNER);
        TestBed bed = TestBed.start("", owner)) {
      String body = TestBed.body("payout", PAY);
      bed.post(body.replace("{\"q\":1}", "{\"a\":{\"x\":1,\"y\":2},\"b\":3}"));
      bed.post(body.replace("{\"q\":1}", "{\"b\":3, \"a\":{\"y\":2,\"x\":1}}"));
      bed.post(body.replace("{\"q\":1}", "{\"b\":3, \"a\":{\"y\":2,\"x\":2}}"));

      assertThat(owner.received(Message.Call.class))
          .extracting(Message.Call::fingerprint)
          .satisfies(
              prints -> {
                assertThat(prints.get(0)).isEqualTo(prints.get(1));
                assertThat(prints.get(0)).isNotEqualTo(prints.get(2));
              });
    }
  }

  /** Settling must ask the owner and report what it recorded. */
  @Test
  void settleReportsTheOwnersOutcome() throws Exception {
    FakeAgent.Script settling =
        (agent, from, message) -> {
          if (message instanceof Message.Settle settle) {
            from.send(
                new Message.Settled(settle.id(), Message.Outcome.NOT_RUN, "settled", new byte[0]));
          }
        };
    try (FakeAgent owner = owner("led-1", settling);
        TestBed bed = TestBed.start("callers.settle_timeout_millis = 300", owner)) {
      String question =
          "{\"pipeline\":\"payout\",\"workspace\":\"w\",\"idempotency_key\":\"" + KEY + "\"}";
      HttpResponse<String> response = bed.settle(question);
      assertThat(TestBed.json(response).path("outcome").asText()).isEqualTo("not_run");
      assertThat(owner.received(Message.Settle.class).get(0).key()).isEqualTo(KEY);

      owner.script(NOTHING);
      assertProblem(bed.settle(question), 503, "no-upstream", "unknown");
    }
  }

  /** Several requests at one time must each get their own answer. */
  @Test
  void concurrentRequestsGetTheirOwnAnswers() throws Exception {
    FakeAgent.Script echo =
        (agent, from, message) -> {
          if (message instanceof Message.Call call) {
            agent.answer(from, call.stream(), "\"" + call.requestId() + "\"");
          }
        };
    try (FakeAgent one = FakeAgent.start("enc-1", "encoders", echo);
        FakeAgent two = FakeAgent.start("enc-2", "encoders", echo);
        TestBed bed = TestBed.start("log.routing_sampling = 0", one, two)) {
      CompletableFuture<?>[] all = new CompletableFuture<?>[200];
      for (int i = 0; i < all.length; i++) {
        all[i] =
            bed.postAsync(TestBed.body("encode", ",\"deadline_ms\":5000"))
                .thenAccept(
                    response ->
                        assertThat(TestBed.json(response).path("output"))
                            .isEqualTo(TestBed.json(response).path("request_id")));
      }
      CompletableFuture.allOf(all).get(10, TimeUnit.SECONDS);
    }
  }
}
