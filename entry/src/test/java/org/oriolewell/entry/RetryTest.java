package org.oriolewell.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.wire.Message;

/**
 * Guards against failures of one agent that fail callers' requests, and against unlimited retries.
 */
class RetryTest {
  private static final String BODY = TestBed.body("encode", ",\"deadline_ms\":5000");
  private static final FakeAgent.Script ANSWERING =
      (agent, from, message) -> {
        if (message instanceof Message.Call call) {
          agent.answer(from, call.stream(), "{}");
        }
      };
  private static final FakeAgent.Script ANSWERING_INVALID_JSON =
      (agent, from, message) -> {
        if (message instanceof Message.Call call) {
          agent.answer(from, call.stream(), "<html>");
        }
      };
  private static final FakeAgent.Script DISCONNECTING =
      (agent, from, message) -> agent.disconnect();

  private static FakeAgent.Script refusing(Message.RefusalKind kind) {
    return (agent, from, message) -> {
      if (message instanceof Message.Call call) {
        agent.refuse(from, call.stream(), kind, Message.Outcome.NOT_RUN, "test");
      }
    };
  }

  private static void assertAnsweredDespite(FakeAgent.Script failing) throws Exception {
    try (FakeAgent firstAgent = FakeAgent.start("enc-1", "encoders", failing);
        FakeAgent secondAgent = FakeAgent.start("enc-2", "encoders", ANSWERING);
        TestBed bed = TestBed.start("", firstAgent, secondAgent)) {
      TestBed.await(
          () -> {
            HttpResponse<String> response = bed.postUnchecked(BODY);
            assertThat(response.statusCode()).isEqualTo(200);
            return !firstAgent.received(Message.Call.class).isEmpty();
          });
    }
  }

  @Test
  void idempotentStageIsAnsweredByAnotherAgent() throws Exception {
    assertAnsweredDespite(DISCONNECTING);
    assertAnsweredDespite(ANSWERING_INVALID_JSON);
    assertAnsweredDespite(refusing(Message.RefusalKind.STOPPING));
    assertAnsweredDespite(refusing(Message.RefusalKind.OVERLOADED));
    assertAnsweredDespite(refusing(Message.RefusalKind.UPSTREAM_FAILED));
  }

  @Test
  void retriesStopWhenTheBudgetIsEmpty() throws Exception {
    try (FakeAgent agent =
            FakeAgent.start("enc-1", "encoders", refusing(Message.RefusalKind.UPSTREAM_FAILED));
        TestBed bed =
            TestBed.start("retries.burst = 5\nretries.ratio = 0\nretries.per_second = 0", agent)) {
      HttpResponse<String> response = bed.post(BODY);

      assertThat(response.statusCode()).isEqualTo(502);
      assertThat(TestBed.json(response).path("outcome").asText()).isEqualTo("not_run");
      assertThat(agent.received(Message.Call.class)).hasSize(3);
    }
  }

  /**
   * The connection to a hanging agent stays open, so only unanswered heartbeats show that it is
   * dead.
   */
  @Test
  void hangingAgentIsDetectedAndItsCallIsRetried() throws Exception {
    FakeAgent.Script hanging = (agent, from, message) -> agent.silent = true;
    try (FakeAgent firstAgent = FakeAgent.start("enc-1", "encoders", hanging);
        TestBed bed = TestBed.start("retries.no_upstream_wait_millis = 5000", firstAgent)) {
      firstAgent.script(
          (agent, from, message) -> {
            if (agent.received(Message.Call.class).size() == 1) {
              agent.silent = true;
            } else {
              ANSWERING.on(agent, from, message);
            }
          });
      var response = bed.postAsync(BODY);
      TestBed.await(() -> bed.connectedAgentCount() == 0);
      firstAgent.silent = false;
      assertThat(response.get().statusCode()).isEqualTo(200);
      assertThat(firstAgent.received(Message.Call.class)).hasSize(2);
    }
  }

  /** A draining agent must not receive new calls. */
  @Test
  void drainingAgentGetsNoCalls() throws Exception {
    try (FakeAgent firstAgent = FakeAgent.start("enc-1", "encoders", ANSWERING);
        FakeAgent secondAgent = FakeAgent.start("enc-2", "encoders", ANSWERING);
        TestBed bed = TestBed.start("", firstAgent, secondAgent)) {
      firstAgent.draining = true;
      TestBed.await(() -> bed.get("/v1/status", true).body().contains("\"draining\":true"));
      firstAgent.received.clear();
      for (int i = 0; i < 20; i++) {
        assertThat(bed.post(BODY).statusCode()).isEqualTo(200);
      }
      assertThat(firstAgent.received(Message.Call.class)).isEmpty();
    }
  }
}
