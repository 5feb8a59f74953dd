package org.oriolewell.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a service whose ledger hides what its callers made it do. */
class ServiceStandinTest {
  private static final String CALL = "{\"request_id\":\"r\",\"key\":\"k\",\"input\":{}}";
  private static final String PATH = "/v1/operations/record";

  private final ServiceStandin service =
      ServiceStandin.start(
          "concurrency = 1\nqueue = 1\nservice_time.median_ms = 1\nservice_time.sigma = 0");

  @AfterEach
  void stop() {
    service.close();
  }

  private CompletableFuture<HttpResponse<String>> call() {
    return Http.send(service, "POST", PATH, CALL);
  }

  /** Guards against deduplication, which would hide a call that ran twice. */
  @Test
  void runsSameKeyAgainAndShowsIt() {
    call().join();
    assertThat(Http.json(call().join()).at("/output/times").intValue()).isEqualTo(2);

    assertThat(service.executions().times("record", "k")).isEqualTo(2);
    assertThat(Http.get(service, "/executions").at("/repeated/0/key").textValue()).isEqualTo("k");
  }

  /** Guards against confusion of the faults before the effect with those after it. */
  @Test
  void faultsActBeforeOrAfterTheEffect() {
    Http.post(service, "/faults", "{\"refuse\":true,\"count\":1}");
    assertThat(call().join().statusCode()).isEqualTo(503);
    Http.post(service, "/faults", "{\"outage\":{\"count\":1}}");
    assertThatThrownBy(() -> call().join()).isInstanceOf(Exception.class);
    assertThat(service.executions().total()).isZero();

    Http.post(service, "/faults", "{\"drop_answer\":true,\"count\":1}");
    assertThatThrownBy(() -> call().join()).isInstanceOf(Exception.class);
    Http.post(service, "/faults", "{\"fail\":502,\"count\":1}");
    assertThat(call().join().statusCode()).isEqualTo(502);
    assertThat(service.executions().total()).isEqualTo(2);
    assertThat(Http.get(service, "/faults").path("faults")).isEmpty();
  }

  /** Guards against a stall that loses calls or lets them run early. */
  @Test
  void stalledCallRunsWhenTheFaultEnds() {
    service.faults().set(Fault.next(Fault.Kind.STALL, 0, 1, ""));
    final CompletableFuture<HttpResponse<String>> stalled = call();
    Await.until(() -> service.faults().faults().isEmpty());
    assertThat(call().join().statusCode()).isEqualTo(200);
    assertThat(service.executions().total()).isEqualTo(1);

    service.faults().clear();

    assertThat(stalled.join().statusCode()).isEqualTo(200);
    assertThat(service.executions().total()).isEqualTo(2);
  }

  /** Guards against a cold upstream that never crashes, or crashes at the rate that it takes. */
  @Test
  void coldServiceCrashesAboveItsRate() {
    Http.post(service, "/faults", "{\"cold_per_s\":2}");
    int answered = 0;
    while (answered < 1000 && service.faults().faults().get(0).kind() != Fault.Kind.OUTAGE) {
      call().handle((reply, failure) -> reply).join();
      answered++;
    }
    // The rate of 2 allows 8 calls in a second.
    assertThat(service.executions().total()).isBetween(8L, 999L);
    assertThat(service.faults().faults()).allMatch(f -> f.kind() == Fault.Kind.OUTAGE);
  }

  /** Guards against a full queue that runs calls although it refuses them. */
  @Test
  void fullQueueRefusesWithoutEffect() {
    service.faults().set(Fault.of(Fault.Kind.SLOW_FACTOR, 1e6));
    call();
    Await.until(() -> service.executions().total() == 1);
    service.faults().set(new Fault(Fault.Kind.BURST, 1, 0, null, ""));

    assertThat(call().join().statusCode()).isEqualTo(503);
    assertThat(service.executions().total()).isEqualTo(1);
  }

  /** Guards against faults that are misspelt and silently ignored. */
  @Test
  void refusesUnknownFaults() {
    assertThat(Http.post(service, "/faults", "{\"delay\":5}").statusCode()).isEqualTo(400);
    assertThat(Http.post(service, "/faults", "{\"slow_factor\":0}").statusCode()).isEqualTo(400);
    assertThat(Http.post(service, "/faults", "[]").statusCode()).isEqualTo(400);
  }
}
