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

/** Tests the answers and refusals of idempotent calls, and how they free their slots. */
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

  /** Guards against a lost or altered output, and against altered fields of the request. */
  @Test
  void answerOfTheStagePoolReachesTheDialer() throws Exception {
    entry.send(TestEntry.idempotentCall(1, 5000));

    Message.Result result = entry.nextMessage(Message.Result.class);
    assertThat(result.stream()).isEqualTo(1);
    assertThat(new String(result.payload(), StandardCharsets.UTF_8)).isEqualTo("{\"ok\":true}");
    HttpCall call = upstream.awaitCall();
    assertThat(FakeUpstream.json(call).path("request_id").asText()).isEqualTo("request-1");
    assertThat(FakeUpstream.json(call).path("input").path("input").path("prompt").asText())
        .isEqualTo("p");
  }

  /** Guards against an unknown outcome if the upstream accepts no connections. */
  @Test
  void stoppedUpstreamMeansNotRun() throws Exception {
    upstream.close();

    entry.send(TestEntry.idempotentCall(1, 5000));

    Message.Refused refused = entry.nextMessage(Message.Refused.class);
    assertThat(refused.kind()).isEqualTo(RefusalKind.UPSTREAM_FAILED);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /** Guards against reporting a call as not run although it may have run. */
  @Test
  void droppedAnswerMeansUnknown() throws Exception {
    upstream.answerCall = call -> dropAnswer(call);

    entry.send(TestEntry.idempotentCall(1, 5000));

    Message.Refused refused = entry.nextMessage(Message.Refused.class);
    assertThat(refused.kind()).isEqualTo(RefusalKind.UPSTREAM_FAILED);
    assertThat(refused.outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  /** Guards against passing on an answer that violates the upstream's protocol. */
  @Test
  void invalidAnswerOfTheUpstreamIsRefused() throws Exception {
    upstream.answerCall = call -> FakeUpstream.reply(200, Map.of("result", 1));

    entry.send(TestEntry.idempotentCall(1, 5000));

    assertThat(entry.nextMessage(Message.Refused.class).kind())
        .isEqualTo(RefusalKind.UPSTREAM_FAILED);
  }

  /** Guards against a call that keeps its slot after its deadline. */
  @Test
  void deadlineEndsCallAndFreesItsSlot() throws Exception {
    CompletableFuture<HttpReply> lateAnswer = new CompletableFuture<>();
    upstream.answerCall = call -> lateAnswer;
    entry.send(TestEntry.idempotentCall(1, 100));
    Message.Refused refused = entry.nextMessage(Message.Refused.class);
    assertThat(refused.kind()).isEqualTo(RefusalKind.DEADLINE_EXCEEDED);
    assertThat(refused.outcome()).isEqualTo(Outcome.UNKNOWN);

    upstream.answerCall = call -> FakeUpstream.reply(200, Map.of("output", 2));
    entry.send(TestEntry.idempotentCall(2, 5000));
    assertThat(entry.nextMessage(Message.Result.class).stream()).isEqualTo(2);
  }

  /** Guards against an unbounded queue, in which under overload every call misses its deadline. */
  @Test
  void fullQueueRefusesAndQueuedCallRunsWhenSlotIsFree() throws Exception {
    CompletableFuture<HttpReply> firstAnswer = new CompletableFuture<>();
    upstream.answerCall = call -> firstAnswer;
    entry.send(TestEntry.idempotentCall(1, 5000));
    upstream.awaitCall();
    entry.send(TestEntry.idempotentCall(2, 5000));
    entry.send(TestEntry.idempotentCall(3, 5000));

    Message.Refused refused = entry.nextMessage(Message.Refused.class);
    assertThat(refused.stream()).isEqualTo(3);
    assertThat(refused.kind()).isEqualTo(RefusalKind.OVERLOADED);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(refused.load().queued()).isEqualTo(1);

    firstAnswer.complete(HttpReply.json(200, Map.of("output", 1)));
    assertThat(entry.nextMessage(Message.Result.class).stream()).isEqualTo(1);
    assertThat(entry.nextMessage(Message.Result.class).stream()).isEqualTo(2);
  }

  /** Guards against running a canceled call, which would take the slot of another one. */
  @Test
  void cancelOfQueuedCallIsNotRun() throws Exception {
    upstream.answerCall = call -> new CompletableFuture<>();
    entry.send(TestEntry.idempotentCall(1, 5000));
    upstream.awaitCall();
    entry.send(TestEntry.idempotentCall(2, 5000));
    entry.send(new Message.Cancel(2));

    Message.Refused refused = entry.nextMessage(Message.Refused.class);
    assertThat(refused.stream()).isEqualTo(2);
    assertThat(refused.kind()).isEqualTo(RefusalKind.CANCELED);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
    entry.send(new Message.Cancel(1));
    assertThat(entry.nextMessage(Message.Refused.class).outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(upstream.receivedCalls).isEmpty();
  }

  /** Guards against slots that stay occupied by calls of a closed connection. */
  @Test
  void closedConnectionFreesTheSlotsOfItsCalls() throws Exception {
    upstream.answerCall = call -> new CompletableFuture<>();
    entry.send(TestEntry.idempotentCall(1, 5000));
    upstream.awaitCall();
    entry.close();

    upstream.answerCall = call -> FakeUpstream.reply(200, Map.of("output", 2));
    try (TestEntry otherEntry = TestEntry.connect(agent.wireAddress())) {
      otherEntry.send(TestEntry.idempotentCall(2, 5000));
      assertThat(otherEntry.nextMessage(Message.Result.class).stream()).isEqualTo(2);
    }
  }

  /** Guards against a malformed frame that ends the calls of other connections. */
  @Test
  void malformedFrameClosesOnlyItsConnection() throws Exception {
    CompletableFuture<HttpReply> answer = new CompletableFuture<>();
    upstream.answerCall = call -> answer;
    entry.send(TestEntry.idempotentCall(1, 5000));
    upstream.awaitCall();
    InetSocketAddress address = agent.wireAddress();
    try (Socket malformedPeer = new Socket(address.getHostString(), address.getPort())) {
      OutputStream output = malformedPeer.getOutputStream();
      output.write(new byte[] {0, 0, 0, 2, (byte) 0xc1, 1});
      output.flush();
      assertThat(malformedPeer.getInputStream().readAllBytes()).isNotEmpty();
    }
    answer.complete(HttpReply.json(200, Map.of("output", 1)));
    assertThat(entry.nextMessage(Message.Result.class).stream()).isEqualTo(1);
  }

  /** Guards against serving a dialer that violates the protocol, which may mix up answers. */
  @Test
  void dialerThatBreaksTheProtocolIsDisconnected() throws Exception {
    try (TestEntry entryWithoutHello = TestEntry.connectWithoutHello(agent.wireAddress())) {
      entryWithoutHello.send(TestEntry.idempotentCall(1, 5000));
      assertThat(entryWithoutHello.awaitClosed()).isTrue();
    }
    upstream.answerCall = call -> new CompletableFuture<>();
    entry.send(TestEntry.idempotentCall(1, 5000));
    entry.send(TestEntry.idempotentCall(1, 5000));
    assertThat(entry.awaitClosed()).isTrue();
  }

  /** Guards against a planned stop that interrupts calls in flight or accepts new ones. */
  @Test
  void plannedStopFinishesTheCallInFlightAndRefusesNewOnes() throws Exception {
    CompletableFuture<HttpReply> answer = new CompletableFuture<>();
    upstream.answerCall = call -> answer;
    entry.send(TestEntry.idempotentCall(1, 5000));
    upstream.awaitCall();

    CountDownLatch agentClosed = new CountDownLatch(1);
    Thread closingThread =
        new Thread(
            () -> {
              agent.close();
              agentClosed.countDown();
            });
    closingThread.start();
    Message.Pong pong;
    do {
      entry.send(new Message.Ping(1, 0, Message.Load.NONE));
      pong = entry.nextMessage(Message.Pong.class);
    } while (!pong.load().draining());
    entry.send(TestEntry.idempotentCall(2, 5000));
    Message.Refused refused = entry.nextMessage(Message.Refused.class);
    assertThat(refused.kind()).isEqualTo(RefusalKind.STOPPING);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);

    answer.complete(HttpReply.json(200, Map.of("output", 1)));
    assertThat(entry.nextMessage(Message.Result.class).stream()).isEqualTo(1);
    assertThat(agentClosed.await(10, TimeUnit.SECONDS)).isTrue();
  }

  private static CompletableFuture<HttpReply> dropAnswer(HttpCall call) {
    call.startStream(200, "application/json");
    call.write("{").thenRun(() -> call.abort(new IOException("the answer is dropped")));
    return new CompletableFuture<>();
  }
}
