package org.oriolewell.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.wire.Message;

/**
 * Guards against invalid requests that get the wrong problem type, are sent to an agent, or stay
 * counted as in flight.
 */
class BadInputTest {
  private static final String DEADLINE_MEMBER = ",\"deadline_ms\":1000";

  private static void assertRefused(TestBed bed, String body, int status, String kind)
      throws Exception {
    HttpResponse<String> response = bed.post(body);
    JsonNode problem = TestBed.json(response);
    assertThat(problem.path("type").asText()).isEqualTo("urn:oriolewell:problem:" + kind);
    assertThat(response.statusCode()).isEqualTo(status);
    assertThat(response.headers().firstValue("Content-Type")).hasValue("application/problem+json");
    assertThat(problem.path("outcome").asText()).isEqualTo("not_run");
    assertThat(problem.path("detail").asText()).isNotEmpty();
  }

  @Test
  void eachInvalidRequestGetsItsProblemAndReachesNoAgent() throws Exception {
    try (FakeAgent agent = FakeAgent.start("enc-1", "encoders", (self, connection, message) -> {});
        TestBed bed = TestBed.start("callers.body_limit_bytes = 4096", agent)) {
      final String validBody = TestBed.body("encode", DEADLINE_MEMBER);
      assertRefused(bed, "{\"pipeline\":", 400, "invalid-request");
      assertRefused(bed, "[1]", 400, "invalid-request");
      assertRefused(bed, "", 400, "invalid-request");
      assertRefused(bed, "{}", 400, "invalid-request");
      assertRefused(bed, validBody.replace("\"input\"", "\"inptu\""), 400, "invalid-request");
      assertRefused(
          bed,
          TestBed.body("encode", DEADLINE_MEMBER + ",\"priority\":10"),
          400,
          "invalid-request");
      assertRefused(bed, TestBed.body("nil", DEADLINE_MEMBER), 404, "unknown-pipeline");
      assertRefused(bed, validBody.replace("\"w\"", "\"x\""), 404, "unknown-workspace");
      assertRefused(bed, TestBed.body("encode", ""), 400, "invalid-deadline");
      for (String invalidDeadline : new String[] {"-1", "0", "1.5", "\"5\"", "60001", "1e30"}) {
        assertRefused(
            bed,
            TestBed.body("encode", ",\"deadline_ms\":" + invalidDeadline),
            400,
            "invalid-deadline");
      }
      assertRefused(
          bed,
          TestBed.body("encode", DEADLINE_MEMBER + ",\"idempotency_key\":\"abc\""),
          400,
          "key-time");
      assertRefused(
          bed, validBody.replace("{\"q\":1}", '"' + "x".repeat(5000) + '"'), 413, "body-too-large");
      assertThat(agent.received(Message.Call.class)).isEmpty();
      assertThat(bed.entry.requestsInFlight()).isZero();
    }
  }

  @Test
  void entryWithoutConfigurationOrUpstreamRefuses() throws Exception {
    String validBody = TestBed.body("encode", DEADLINE_MEMBER);
    try (TestBed bed = TestBed.withoutConfig()) {
      assertThat(bed.get("/ready", true).statusCode()).isEqualTo(503);
      assertThat(bed.get("/health", true).statusCode()).isEqualTo(200);
      assertRefused(bed, validBody, 503, "not-ready");
    }
    try (TestBed bed = TestBed.start("")) {
      assertRefused(bed, validBody, 503, "no-upstream");
    }
  }
}
