package org.oriolewell.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.wire.Message;

/** Guards against a planned stop that interrupts requests or goes on to take new ones. */
class PlannedStopTest {
  @Test
  void requestInFlightIsAnsweredAndNewOnesAreRefused() throws Exception {
    String body = TestBed.body("encode", ",\"deadline_ms\":8000");
    try (FakeAgent agent = FakeAgent.start("enc-1", "encoders", (a, connection, message) -> {});
        TestBed bed = TestBed.start("", agent)) {
      final CompletableFuture<HttpResponse<String>> inFlight = bed.postAsync(body);
      TestBed.await(() -> !agent.received(Message.Call.class).isEmpty());

      final CompletableFuture<Void> stop = CompletableFuture.runAsync(bed::closeEntry);
      TestBed.await(() -> bed.get("/ready", true).statusCode() == 503);
      HttpResponse<String> refused = bed.post(body);
      assertThat(refused.statusCode()).isEqualTo(503);
      assertThat(refused.headers().firstValue("Retry-After")).hasValue("1");
      assertThat(TestBed.json(refused).path("type").asText()).endsWith(":stopping");
      assertThat(TestBed.json(refused).path("outcome").asText()).isEqualTo("not_run");
      assertThat(stop).isNotDone();

      agent.sendAnswer(agent.received(Message.Call.class).get(0).stream(), "{\"late\":1}");
      assertThat(inFlight.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
      stop.get(10, TimeUnit.SECONDS);
    }
  }
}
