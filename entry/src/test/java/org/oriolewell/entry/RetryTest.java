package org.oriolewell.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.wire.Message;

/** Guards against failures of one agent that reach callers, and against retries without bound. */
class RetryTest {
  private static final String BODY = TestBed.body("encode", ",\"deadline_ms\":5000");
  private static final FakeAgent.Script GOOD =
      (agent, from, message) -> {
        if (message instanceof Message.Call call) {
          agent.answer(from, call.stream(), "{}");
        }
      };
  private static final FakeAgent.Script BROKEN =
      (agent, from, message) -> {
        if (message instanceof Message.Call call) {
          agent.answer(from, call.stream(), "<html>");
        }
      };
  private static final FakeAgent.Script CUTTING = (agent, from, message) -> agent.cut();

  private static FakeAgent.Script refusing(Message.RefusalKind kind) {
    return (agent, from, message) -> {
      if (message instanceof Message.Call call) {
        agent.refuse(from, call.stream(), kind, Message.Outcome.NOT_RUN, "test");
      }
    };
  }

  private static void assertAnsweredDespite(FakeAgent.Script bad) throws Exception {
    try (FakeAgent one = FakeAgent.start("enc-1", "encoders", bad);
        FakeAgent two = FakeAgent.start("enc-2", "encoders", GOOD);
        TestBed bed = TestBed.start("", one, two)) {
      TestBed.await(
          () -> {
            HttpResponse<String> response = bed.postNow(BODY);
            assertThat(response.statusCode()).isEqualTo(200);
            return !one.received(Message.Call.class).isEmpty();
          });
    }
  }

  @Test
  void idempotentStageIsAnsweredByAnotherAgent() throws Exception {
    assertAnsweredDespite(CUTTING);
    assertAnsweredDespite(BROKEN);
    assertAnsweredDespite(refusing(Message.RefusalKind.STOPPING));
    assertAnsweredDespite(refusing(Message.RefusalKind.OVERLOADED));
    assertAnsweredDespite(refusing(Message.RefusalKind.UPSTREAM_FAILED));
  }

  @Test
  void retriesEndWithTheBudget() throws Exception {
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

  /** An agent that hangs keeps its connection open, so only heartbeats can find it dead. */
  @Test
  void hangingAgentIsFoundDeadAndItsCallGoesElsewhere() throws Exception {
    FakeAgent.Script hanging = (agent, from, message) -> agent.silent = true;
    try (FakeAgent one = FakeAgent.start("enc-1", "encoders", hanging);
        TestBed bed = TestBed.start("retries.no_upstream_wait_millis = 5000", one)) {
      one.script(
          (agent, from, message) -> {
            if (agent.received(Message.Call.class).size() == 1) {
              agent.silent = true;
            } else {
              GOOD.on(agent, from, message);
            }
          });
      var answer = bed.postAsync(BODY);
      TestBed.await(() -> bed.connected() == 0);
      one.silent = false;
      assertThat(answer.get().statusCode()).isEqualTo(200);
      assertThat(one.received(Message.Call.class)).hasSize(2);
    }
  }

  /** A draining agent must get no new work. */
  @Test
  void drainingAgentGetsNoCalls() throws Exception {
    try (FakeAgent one = FakeAgent.start("enc-1", "encoders", GOOD);
        FakeAgent two = FakeAgent.start("enc-2", "encoders", GOOD);
        TestBed bed = TestBed.start("", one, two)) {
      one.draining = true;
      TestBed.await(() -> bed.get("/v1/status", true).body().contains("\"draining\":true"));
      one.received.clear();
      for (int i = 0; i < 20; i++) {
        assertThat(bed.post(BODY).statusCode()).isEqualTo(200);
      }
      assertThat(one.received(Message.Call.class)).isEmpty();
    }
  }
}
