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

/**
 * Guards against non-idempotent calls that run twice and against requests that report a wrong
 * outcome of such a call.
 */
class NonIdempotentTest {
  private static final String KEY = "1764820800000-k1";
  private static final String PAYOUT_MEMBERS =
      ",\"deadline_ms\":3000,\"idempotency_key\":\"" + KEY + "\"";
  private static final String SHARD = "calls/ledgers/0";

  /** Sends START for each call and answers it after GRANT. */
  private static final FakeAgent.Script ANSWERING_AFTER_GRANT =
      (agent, from, message) -> {
        if (message instanceof Message.Call call) {
          from.send(new Message.Start(call.stream(), 1));
        } else if (message instanceof Message.Grant grant) {
          agent.answer(from, grant.stream(), "{\"paid\":true}");
        }
      };

  private static final FakeAgent.Script IGNORING = (agent, from, message) -> {};

  private static FakeAgent.Script refusing(Message.RefusalKind kind, String detail) {
    return (agent, from, message) -> {
      if (message instanceof Message.Call call) {
        agent.refuse(from, call.stream(), kind, Message.Outcome.NOT_RUN, detail);
      }
    };
  }

  private static FakeAgent startOwner(String name, FakeAgent.Script script) {
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
    try (FakeAgent other = FakeAgent.start("led-1", "ledgers", IGNORING);
        FakeAgent owner = startOwner("led-2", ANSWERING_AFTER_GRANT);
        TestBed bed = TestBed.start("", other, owner)) {
      HttpResponse<String> response = bed.post(TestBed.body("payout", PAYOUT_MEMBERS));

      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(TestBed.json(response).path("output").path("paid").asBoolean()).isTrue();
      assertThat(owner.received(Message.Call.class).get(0).key()).isEqualTo(KEY);
      assertThat(other.received(Message.Call.class)).isEmpty();
    }
  }

  /** A call that was not granted has not run, so it can be sent to another agent. */
  @Test
  void agentKilledBeforeStartIsReplaced() throws Exception {
    try (FakeAgent dying = startOwner("led-1", (agent, from, message) -> agent.disconnect());
        FakeAgent other = FakeAgent.start("led-2", "ledgers", ANSWERING_AFTER_GRANT);
        TestBed bed = TestBed.start("", dying, other)) {
      assertThat(bed.post(TestBed.body("payout", PAYOUT_MEMBERS)).statusCode()).isEqualTo(200);
      assertThat(dying.received(Message.Grant.class)).isEmpty();
    }
  }

  /** A granted call may have run, so a retry at another agent could run it twice. */
  @Test
  void agentKilledAfterGrantIsUnknownAndNotRetried() throws Exception {
    FakeAgent.Script dying =
        (agent, from, message) -> {
          if (message instanceof Message.Grant) {
            agent.disconnect();
          } else {
            ANSWERING_AFTER_GRANT.on(agent, from, message);
          }
        };
    try (FakeAgent owner = startOwner("led-1", dying);
        FakeAgent other = FakeAgent.start("led-2", "ledgers", ANSWERING_AFTER_GRANT);
        TestBed bed = TestBed.start("", owner, other)) {
      HttpResponse<String> response = bed.post(TestBed.body("payout", PAYOUT_MEMBERS));

      assertProblem(response, 502, "outcome-unknown", "unknown");
      assertThat(other.received(Message.Call.class)).isEmpty();
    }
  }

  /**
   * A call that is still queued in the agent at the deadline is reported as not run, so its later
   * START must be denied.
   */
  @Test
  void deadlinePassingInTheQueueIsNotRunAndLaterStartIsDenied() throws Exception {
    try (FakeAgent owner = startOwner("led-1", IGNORING);
        TestBed bed = TestBed.start("", owner)) {
      HttpResponse<String> response =
          bed.post(TestBed.body("payout", PAYOUT_MEMBERS.replace("3000", "100")));

      assertProblem(response, 504, "deadline-exceeded", "not_run");
      TestBed.await(() -> !owner.received(Message.Cancel.class).isEmpty());
      owner.send(new Message.Start(owner.received(Message.Call.class).get(0).stream(), 1));
      TestBed.await(() -> !owner.received(Message.Deny.class).isEmpty());
      assertThat(owner.received(Message.Grant.class)).isEmpty();
    }
  }

  /**
   * A granted call without a result by the deadline must end as unknown, and its late result must
   * not become the answer to the next request.
   */
  @Test
  void deadlineAfterGrantIsUnknownAndLateResultHasNoEffect() throws Exception {
    try (FakeAgent owner =
            startOwner(
                "led-1",
                (agent, from, message) -> {
                  if (message instanceof Message.Call call) {
                    from.send(new Message.Start(call.stream(), 1));
                  }
                });
        TestBed bed = TestBed.start("", owner)) {
      HttpResponse<String> response =
          bed.post(TestBed.body("payout", PAYOUT_MEMBERS.replace("3000", "100")));
      assertProblem(response, 504, "deadline-exceeded", "unknown");
      assertThat(owner.received(Message.Cancel.class)).isEmpty();

      owner.script(ANSWERING_AFTER_GRANT);
      long lateStreamId = owner.received(Message.Call.class).get(0).stream();
      owner.send(new Message.Result(lateStreamId, new byte[] {'1'}, 0, owner.load()));
      owner.send(new Message.Result(lateStreamId, new byte[] {'1'}, 0, owner.load()));
      HttpResponse<String> nextResponse = bed.post(TestBed.body("payout", PAYOUT_MEMBERS));
      assertThat(TestBed.json(nextResponse).path("output").path("paid").asBoolean()).isTrue();
    }
  }

  /**
   * The entry may know only the previous owner of a shard, which refuses the call and names the new
   * owner.
   */
  @Test
  void notOwnerIsRetriedAtTheNamedOwner() throws Exception {
    FakeAgent owner = FakeAgent.start("led-2", "ledgers", ANSWERING_AFTER_GRANT);
    try (FakeAgent previousOwner =
            startOwner("led-1", refusing(Message.RefusalKind.NOT_OWNER, "owner is led-2"));
        owner;
        TestBed bed = TestBed.start("", previousOwner, owner)) {
      assertThat(bed.post(TestBed.body("payout", PAYOUT_MEMBERS)).statusCode()).isEqualTo(200);
    }
  }

  /** Calls refused during a short store outage must be retried without use of the retry budget. */
  @Test
  void callIsRetriedDuringStoreOutage() throws Exception {
    AtomicInteger callCount = new AtomicInteger();
    FakeAgent.Script recovering =
        (agent, from, message) -> {
          boolean mustRefuse = message instanceof Message.Call && callCount.incrementAndGet() < 4;
          (mustRefuse
                  ? refusing(Message.RefusalKind.STORE_UNAVAILABLE, "store away")
                  : ANSWERING_AFTER_GRANT)
              .on(agent, from, message);
        };
    try (FakeAgent owner = startOwner("led-1", recovering);
        TestBed bed = TestBed.start("retries.burst = 0", owner)) {
      assertThat(bed.post(TestBed.body("payout", PAYOUT_MEMBERS)).statusCode()).isEqualTo(200);
    }
  }

  /** A caller's key may be settled by the refusal, so the entry must not retry with another key. */
  @Test
  void refusedCallersKeyIsNotReplaced() throws Exception {
    try (FakeAgent owner =
            startOwner(
                "led-1", refusing(Message.RefusalKind.UPSTREAM_FAILED, "connection refused"));
        TestBed bed = TestBed.start("", owner)) {
      assertProblem(
          bed.post(TestBed.body("payout", PAYOUT_MEMBERS)), 502, "upstream-failed", "not_run");
      assertThat(owner.received(Message.Call.class)).hasSize(1);
    }
  }

  /**
   * A result that isn't JSON shows that the call ran, so its outcome must not be reported as not
   * run.
   */
  @Test
  void invalidJsonFromTheOwnerIsUnknown() throws Exception {
    FakeAgent.Script answeringInvalidJson =
        (agent, from, message) -> {
          if (message instanceof Message.Grant grant) {
            agent.answer(from, grant.stream(), "{\"paid\":");
          } else {
            ANSWERING_AFTER_GRANT.on(agent, from, message);
          }
        };
    try (FakeAgent owner = startOwner("led-1", answeringInvalidJson);
        TestBed bed = TestBed.start("", owner)) {
      assertProblem(
          bed.post(TestBed.body("payout", PAYOUT_MEMBERS)), 502, "outcome-unknown", "unknown");
    }
  }

  /** A key that was used before with another request body must not get the answer to that body. */
  @Test
  void keyConflictIsReported() throws Exception {
    try (FakeAgent owner =
            startOwner("led-1", refusing(Message.RefusalKind.KEY_CONFLICT, "other"));
        TestBed bed = TestBed.start("", owner)) {
      assertProblem(
          bed.post(TestBed.body("payout", PAYOUT_MEMBERS)), 422, "key-conflict", "not_run");
    }
  }

  /** The fingerprint must depend on the members of the input, not on their order. */
  @Test
  void fingerprintIgnoresTheOrderOfMembers() throws Exception {
    try (FakeAgent owner = startOwner("led-1", ANSWERING_AFTER_GRANT);
        TestBed bed = TestBed.start("", owner)) {
      String body = TestBed.body("payout", PAYOUT_MEMBERS);
      bed.post(body.replace("{\"q\":1}", "{\"a\":{\"x\":1,\"y\":2},\"b\":3}"));
      bed.post(body.replace("{\"q\":1}", "{\"b\":3, \"a\":{\"y\":2,\"x\":1}}"));
      bed.post(body.replace("{\"q\":1}", "{\"b\":3, \"a\":{\"y\":2,\"x\":2}}"));

      assertThat(owner.received(Message.Call.class))
          .extracting(Message.Call::fingerprint)
          .satisfies(
              fingerprints -> {
                assertThat(fingerprints.get(0)).isEqualTo(fingerprints.get(1));
                assertThat(fingerprints.get(0)).isNotEqualTo(fingerprints.get(2));
              });
    }
  }

  /** Settling a key must ask the shard's owner and report the outcome that the owner recorded. */
  @Test
  void settleReportsTheOwnersOutcome() throws Exception {
    FakeAgent.Script settling =
        (agent, from, message) -> {
          if (message instanceof Message.Settle settle) {
            from.send(
                new Message.Settled(settle.id(), Message.Outcome.NOT_RUN, "settled", new byte[0]));
          }
        };
    try (FakeAgent owner = startOwner("led-1", settling);
        TestBed bed = TestBed.start("callers.settle_timeout_millis = 300", owner)) {
      String settleBody =
          "{\"pipeline\":\"payout\",\"workspace\":\"w\",\"idempotency_key\":\"" + KEY + "\"}";
      HttpResponse<String> response = bed.settle(settleBody);
      assertThat(TestBed.json(response).path("outcome").asText()).isEqualTo("not_run");
      assertThat(owner.received(Message.Settle.class).get(0).key()).isEqualTo(KEY);

      owner.script(IGNORING);
      assertProblem(bed.settle(settleBody), 503, "no-upstream", "unknown");
    }
  }

  /** Concurrent requests must each get the answer to their own call. */
  @Test
  void concurrentRequestsGetTheirOwnAnswers() throws Exception {
    FakeAgent.Script echo =
        (agent, from, message) -> {
          if (message instanceof Message.Call call) {
            agent.answer(from, call.stream(), "\"" + call.requestId() + "\"");
          }
        };
    try (FakeAgent firstAgent = FakeAgent.start("enc-1", "encoders", echo);
        FakeAgent secondAgent = FakeAgent.start("enc-2", "encoders", echo);
        TestBed bed = TestBed.start("log.routing_sampling = 0", firstAgent, secondAgent)) {
      CompletableFuture<?>[] responses = new CompletableFuture<?>[200];
      for (int i = 0; i < responses.length; i++) {
        responses[i] =
            bed.postAsync(TestBed.body("encode", ",\"deadline_ms\":5000"))
                .thenAccept(
                    response ->
                        assertThat(TestBed.json(response).path("output"))
                            .isEqualTo(TestBed.json(response).path("request_id")));
      }
      CompletableFuture.allOf(responses).get(10, TimeUnit.SECONDS);
    }
  }
}
