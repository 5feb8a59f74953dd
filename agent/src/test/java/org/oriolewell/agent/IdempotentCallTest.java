package org.oriolewell.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.Message.Outcome;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/** Guards against wrong answers and untruthful refusals of calls that may run more than once. */
class IdempotentCallTest {
  private FakeUpstream upstream;
  private Agent agent;
  private TestEntry entry;

  @BeforeEach
  void start() throws Exception {
    upstream = FakeUpstream.start();
    agent =
        AgentFixture.start(
            "stage",
            upstream.url(),
            "admission.limit = 1",
            "admission.max_limit = 1",
            "admission.queue_size = 1");
    entry = TestEntry.connect(agent.wireAddress());
  }

  @AfterEach
  void stop() {
    entry.close();
    agent.close();
    upstream.close();
  }

  /** A lost or altered output would give the caller a wrong answer. */
  @Test
  void answerOfTheStagePoolReachesTheDialer() throws Exception {
    entry.send(TestEntry.idempotent(1, 5000));

    Message.Result result = entry.next(Message.Result.class);
    assertThat(result.stream()).isEqualTo(1);
    assertThat(new String(result.payload(), StandardCharsets.UTF_8)).isEqualTo("{\"ok\":true}");
    HttpCall call = upstream.awaitCall();
    assertThat(FakeUpstream.json(call).path("request_id").asText()).isEqualTo("request-1");
    assertThat(FakeUpstream.json(call).path("input").path("input").path("prompt").asText())
        .isEqualTo("p");
  }

  /** A stopped upstream can't have run the call, and the entry may say so. */
  @Test
  void stoppedUpstreamMeansNotRun() throws Exception {
    upstream.close();

    entry.send(TestEntry.idempotent(1, 5000));

    Message.Refused refused = entry.next(Message.Refused.class);
    assertThat(refused.kind()).isEqualTo(RefusalKind.UPSTREAM_FAILED);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /** A call whose answer was dropped may have run; "not run" would be untrue. */
  @Test
  void droppedAnswerMeansUnknown() throws Exception {
    upstream.answer = call -> dropped(call);

    entry.send(TestEntry.idempotent(1, 5000));

    Message.Refused refused = entry.next(Message.Refused.class);
    assertThat(refused.kind()).isEqualTo(RefusalKind.UPSTREAM_FAILED);
    assertThat(refused.outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  /** An answer that isn't the protocol's must not be passed on as an output. */
  @Test
  void nonsenseFromTheUpstreamIsRefused() throws Exception {
    upstream.answer = call -> FakeUpstream.reply(200, Map.of("result", 1));

    entry.send(TestEntry.idempotent(1, 5000));

    assertThat(entry.next(Message.Refused.class).kind()).isEqualTo(RefusalKind.UPSTREAM_FAILED);
  }

  /** A call must end at its deadline, and its place must be free for the next. */
  @Test
  void deadlineEndsCallAndFreesItsPlace() throws Exception {
    CompletableFuture<HttpReply> late = new CompletableFuture<>();
    upstream.answer = call -> late;
    entry.send(TestEntry.idempotent(1, 100));
    Message.Refused refused = entry.next(Message.Refused.class);
    assertThat(refused.kind()).isEqualTo(RefusalKind.DEADLINE_EXCEEDED);
    assertThat(refused.outcome()).isEqualTo(Outcome.UNKNOWN);

    upstream.answer = call -> FakeUpstream.reply(200, Map.of("output", 2));
    entry.send(TestEntry.idempotent(2, 5000));
    assertThat(entry.next(Message.Result.class).stream()).isEqualTo(2);
  }

  /** Without a bound on the queue an overload would make every call miss its deadline. */
  @Test
  void fullQueueRefusesAndQueuedCallRunsWhenPlaceIsFree() throws Exception {
    CompletableFuture<HttpReply> first = new CompletableFuture<>();
    upstream.answer = call -> first;
    entry.send(TestEntry.idempotent(1, 5000));
    upstream.awaitCall();
    entry.send(TestEntry.idempotent(2, 5000));
    entry.send(TestEntry.idempotent(3, 5000));

    Message.Refused refused = entry.next(Message.Refused.class);
    assertThat(refused.stream()).isEqualTo(3);
    assertThat(refused.kind()).isEqualTo(RefusalKind.OVERLOADED);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(refused.load().queued()).isEqualTo(1);

    first.complete(HttpReply.json(200, Map.of("output", 1)));
    assertThat(entry.next(Message.Result.class).stream()).isEqualTo(1);
    assertThat(entry.next(Message.Result.class).stream()).isEqualTo(2);
  }

  /** Work that nobody waits for would take the place of wanted work. */
  @Test
  void cancelOfQueuedCallIsNotRun() throws Exception {
    upstream.answer = call -> new CompletableFuture<>();
    entry.send(TestEntry.idempotent(1, 5000));
    upstream.awaitCall();
    entry.send(TestEntry.idempotent(2, 5000));
    entry.send(new Message.Cancel(2));

    Message.Refused refused = entry.next(Message.Refused.class);
    assertThat(refused.stream()).isEqualTo(2);
    assertThat(refused.kind()).isEqualTo(RefusalKind.CANCELED);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
    entry.send(new Message.Cancel(1));
    assertThat(entry.next(Message.Refused.class).outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(upstream.calls).isEmpty();
  }

  /** A call of a closed connection must leave the upstream, or its place is lost for good. */
  @Test
  void closedConnectionFreesThePlacesOfItsCalls() throws Exception {
    upstream.answer = call -> new CompletableFuture<>();
    entry.send(TestEntry.idempotent(1, 5000));
    upstream.awaitCall();
    entry.close();

    upstream.answer = call -> FakeUpstream.reply(200, Map.of("output", 2));
    try (TestEntry other = TestEntry.connect(agent.wireAddress())) {
      other.send(TestEntry.idempotent(2, 5000));
      assertThat(other.next(Message.Result.class).stream()).isEqualTo(2);
    }
  }

  /** One broken peer must not end the calls of others. */
  @Test
  void malformedFrameClosesOnlyItsConnection() throws Exception {
    CompletableFuture<HttpReply> answer = new CompletableFuture<>();
    upstream.answer = call -> answer;
    entry.send(TestEntry.idempotent(1, 5000));
    upstream.awaitCall();
    InetSocketAddress address = agent.wireAddress();
    try (Socket bad = new Socket(address.getHostString(), address.getPort())) {
      OutputStream out = bad.getOutputStream();
      out.write(new byte[] {0, 0, 0, 2, (byte) 0xc1, 1});
      out.flush();
      assertThat(bad.getInputStream().readAllBytes()).isNotEmpty();
    }
    answer.complete(HttpReply.json(200, Map.of("output", 1)));
    assertThat(entry.next(Message.Result.class).stream()).isEqualTo(1);
  }

  /** A dialer that breaks the protocol can't be trusted to match answers to its calls. */
  @Test
  void dialerThatBreaksTheProtocolIsDisconnected() throws Exception {
    try (TestEntry silent = TestEntry.connectSilently(agent.wireAddress())) {
      silent.send(TestEntry.idempotent(1, 5000));
      assertThat(silent.awaitClosed()).isTrue();
    }
    upstream.answer = call -> new CompletableFuture<>();
    entry.send(TestEntry.idempotent(1, 5000));
    entry.send(TestEntry.idempotent(1, 5000));
    assertThat(entry.awaitClosed()).isTrue();
  }

  /** A planned stop must interrupt no call in flight and take no new one. */
  @Test
  void plannedStopFinishesTheCallInFlightAndRefusesNewOnes() throws Exception {
    CompletableFuture<HttpReply> answer = new CompletableFuture<>();
    upstream.answer = call -> answer;
    entry.send(TestEntry.idempotent(1, 5000));
    upstream.awaitCall();

    CountDownLatch closed = new CountDownLatch(1);
    Thread stop =
        new Thread(
            () -> {
              agent.close();
              closed.countDown();
            });
    stop.start();
    Message.Pong pong;
    do {
      entry.send(new Message.Ping(1, 0, Message.Load.NONE));
      pong = entry.next(Message.Pong.class);
    } while (!pong.load().draining());
    entry.send(TestEntry.idempotent(2, 5000));
    Message.Refused refused = entry.next(Message.Refused.class);
    assertThat(refused.kind()).isEqualTo(RefusalKind.STOPPING);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);

    answer.complete(HttpReply.json(200, Map.of("output", 1)));
    assertThat(entry.next(Message.Result.class).stream()).isEqualTo(1);
    assertThat(closed.await(10, TimeUnit.SECONDS)).isTrue();
  }

  private static CompletableFuture<HttpReply> dropped(HttpCall call) {
    call.startStream(200, "application/json");
    call.write("{").thenRun(() -> call.abort(new IOException("the answer is dropped")));
    return new CompletableFuture<>();
  }
}
