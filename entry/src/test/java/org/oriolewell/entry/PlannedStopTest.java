package org.oriolewell.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.wire.Message;

/** Guards against a planned stop that interrupts requests in flight or still accepts new ones. */
class PlannedStopTest {
  @Test
  void requestInFlightIsAnsweredAndNewOnesAreRefused() throws Exception {
    String body = TestBed.body("encode", ",\"deadline_ms\":8000");
    try (FakeAgent agent = FakeAgent.start("enc-1", "encoders", (self, connection, message) -> {});
        TestBed bed = TestBed.start("", agent)) {
      final CompletableFuture<HttpResponse<String>> responseInFlight = bed.postAsync(body);
      TestBed.await(() -> !agent.received(Message.Call.class).isEmpty());

      final CompletableFuture<Void> stopped = CompletableFuture.runAsync(bed::closeEntry);
      TestBed.await(() -> bed.get("/ready", true).statusCode() == 503);
      HttpResponse<String> refusedResponse = bed.post(body);
      assertThat(refusedResponse.statusCode()).isEqualTo(503);
      assertThat(refusedResponse.headers().firstValue("Retry-After")).hasValue("1");
      assertThat(TestBed.json(refusedResponse).path("type").asText()).endsWith(":stopping");
      assertThat(TestBed.json(refusedResponse).path("outcome").asText()).isEqualTo("not_run");
      assertThat(stopped).isNotDone();

      agent.sendAnswer(agent.received(Message.Call.class).get(0).stream(), "{\"late\":1}");
      assertThat(responseInFlight.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
      stopped.get(10, TimeUnit.SECONDS);
    }
  }
}
