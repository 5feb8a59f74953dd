package org.oriolewell.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.wire.Message;

/**
 * Guards against incomplete answers, and answers of other requests, to requests without a stream.
 */
class WholeAnswerTest {
  private static final FakeAgent.Script ECHO =
      (agent, from, message) -> {
        if (message instanceof Message.Call call) {
          agent.answer(from, call.stream(), "{\"echo\":\"" + call.requestId() + "\"}");
        }
      };

  @Test
  void answerHoldsOutputAndStagesOfTheRequest() throws Exception {
    try (FakeAgent agent = FakeAgent.start("enc-1", "encoders", ECHO);
        TestBed bed = TestBed.start("", agent)) {
      HttpResponse<String> response = bed.post(TestBed.body("encode", ",\"deadline_ms\":2000"));

      assertThat(response.statusCode()).isEqualTo(200);
      JsonNode body = TestBed.json(response);
      assertThat(body.path("outcome").asText()).isEqualTo("answered");
      assertThat(body.path("output").path("echo").asText())
          .isEqualTo(body.path("request_id").asText());
      assertThat(body.path("stages").path(0).path("upstream").asText()).isEqualTo("enc-1");
      Message.Call call = agent.received(Message.Call.class).get(0);
      assertThat(TestBed.JSON.readTree(call.payload()).path("input").path("q").asInt())
          .isEqualTo(1);
      assertThat(call.remainingMillis()).isBetween(1L, 2000L);
      assertThat(call.firm()).isEqualTo("f");
    }
  }
}
