package org.oriolewell.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.WireConnection;

/**
 * Guards against streams with missing or repeated tokens or without an end, and against unlimited
 * buffering of tokens.
 */
class StreamTest {
  private static final int TOKEN_COUNT = 20;
  private static final String STREAM_MEMBERS = ",\"stream\":true,\"deadline_ms\":8000";

  private static final FakeAgent.Script GENERATING =
      (agent, from, message) -> {
        if (message instanceof Message.Call call) {
          sendTokens(from, call, TOKEN_COUNT);
          sendEnd(agent, from, call.stream(), TOKEN_COUNT);
        }
      };

  private static void sendTokens(WireConnection to, Message.Call call, int endPosition) {
    for (long i = call.resumeFrom(); i < endPosition; i++) {
      to.send(new Message.Tokens(call.stream(), i, List.of("t" + i)));
    }
  }

  private static void sendEnd(FakeAgent agent, WireConnection to, long streamId, long tokenCount) {
    to.send(new Message.Result(streamId, new byte[0], tokenCount, agent.load()));
  }

  /** Parses server-sent events; returns the data of each, with the event's name as a member. */
  private static List<JsonNode> events(Stream<String> lines) throws Exception {
    List<JsonNode> events = new ArrayList<>();
    String eventName = "";
    for (String line : lines.toList()) {
      if (line.startsWith("event: ")) {
        eventName = line.substring(7);
      } else if (line.startsWith("data: ")) {
        events.add(
            ((com.fasterxml.jackson.databind.node.ObjectNode)
                    TestBed.JSON.readTree(line.substring(6)))
                .put("event", eventName));
      }
    }
    return events;
  }

  private static void assertComplete(List<JsonNode> events, long from) {
    for (int i = 0; i < events.size() - 1; i++) {
      assertThat(events.get(i).path("event").asText()).isEqualTo("token");
      assertThat(events.get(i).path("position").asLong()).isEqualTo(from + i);
      assertThat(events.get(i).path("text").asText()).isEqualTo("t" + (from + i));
    }
    JsonNode endEvent = events.get(events.size() - 1);
    assertThat(endEvent.path("event").asText()).isEqualTo("end");
    assertThat(endEvent.path("outcome").asText()).isEqualTo("answered");
    assertThat(endEvent.path("count").asLong()).isEqualTo(from + events.size() - 1);
  }

  @Test
  void streamIsCompleteAndCanBeResumedFromPosition() throws Exception {
    try (FakeAgent agent = FakeAgent.start("eng-1", "engines", GENERATING);
        TestBed bed = TestBed.start("", agent)) {
      HttpResponse<Stream<String>> response =
          bed.openStream(TestBed.body("draft", STREAM_MEMBERS)).get();
      String id = response.headers().firstValue("Request-Id").orElseThrow();
      List<JsonNode> events = events(response.body());

      assertThat(events).hasSize(TOKEN_COUNT + 1);
      assertComplete(events, 0);
      List<JsonNode> resumedEvents =
          events(bed.get("/v1/requests/" + id + "/stream?from=15", false).body().lines());
      assertThat(resumedEvents).hasSize(TOKEN_COUNT - 15 + 1);
      assertComplete(resumedEvents, 15);
      assertThat(bed.get("/v1/requests/" + id + "0/stream?from=0", false).statusCode())
          .isEqualTo(400);
    }
  }

  /** After an engine is killed, another one must continue the stream at the next token. */
  @Test
  void engineKilledMidStreamIsReplacedFromThePositionReached() throws Exception {
    AtomicInteger callCount = new AtomicInteger();
    FakeAgent.Script dyingAtFirstCall =
        (agent, from, message) -> {
          if (message instanceof Message.Call call) {
            if (callCount.getAndIncrement() == 0) {
              sendTokens(from, call, 7);
              agent.disconnect();
            } else {
              GENERATING.on(agent, from, call);
            }
          }
        };
    try (FakeAgent firstAgent = FakeAgent.start("eng-1", "engines", dyingAtFirstCall);
        FakeAgent secondAgent = FakeAgent.start("eng-2", "engines", dyingAtFirstCall);
        TestBed bed = TestBed.start("", firstAgent, secondAgent)) {
      HttpResponse<Stream<String>> response =
          bed.openStream(TestBed.body("draft", STREAM_MEMBERS)).get();

      List<JsonNode> events = events(response.body());

      assertThat(events).hasSize(TOKEN_COUNT + 1);
      assertComplete(events, 0);
      List<Message.Call> calls = new ArrayList<>(firstAgent.received(Message.Call.class));
      calls.addAll(secondAgent.received(Message.Call.class));
      assertThat(calls).extracting(Message.Call::resumeFrom).containsExactlyInAnyOrder(0L, 7L);
    }
  }

  /**
   * The call of a caller that has disconnected must be canceled, so that it no longer uses engine
   * capacity.
   */
  @Test
  void callerThatDisconnectsCancelsTheCall() throws Exception {
    FakeAgent.Script sendingOnCredit =
        (agent, from, message) -> {
          if (message instanceof Message.Call call) {
            sendTokens(from, call, 3);
          } else if (message instanceof Message.Credit credit) {
            from.send(new Message.Tokens(credit.stream(), 3, List.of("t3")));
          }
        };
    try (FakeAgent agent = FakeAgent.start("eng-1", "engines", sendingOnCredit);
        TestBed bed = TestBed.start("streams.grace_millis = 0\nstreams.credits = 4", agent)) {
      try (Socket caller = sendRequest(bed, TestBed.body("draft", STREAM_MEMBERS))) {
        assertThat(new InputStreamReader(caller.getInputStream(), StandardCharsets.UTF_8).read())
            .isEqualTo('H');
        caller.setSoLinger(true, 0);
      }
      Message.Call call = agent.received(Message.Call.class).get(0);

      TestBed.await(
          () -> {
            agent.sendTokens(call.stream(), 3);
            return !agent.received(Message.Cancel.class).isEmpty();
          });
      TestBed.await(() -> bed.entry.requestsInFlight() == 0);
    }
  }

  /** The entry must not buffer the whole answer for a caller that doesn't read it. */
  @Test
  void agentStopsSendingWhenTheCallerDoesNotRead() throws Exception {
    int frameCount = 300;
    String largeToken = "x".repeat(64 << 10);
    AtomicInteger sentFrameCount = new AtomicInteger();
    FakeAgent.Script sendingLargeFrames =
        (agent, from, message) -> {
          long stream;
          int credits;
          if (message instanceof Message.Call call) {
            stream = call.stream();
            credits = call.credits();
          } else if (message instanceof Message.Credit credit) {
            stream = credit.stream();
            credits = credit.frames();
          } else {
            return;
          }
          for (int i = 0; i < credits && sentFrameCount.get() < frameCount; i++) {
            from.send(
                new Message.Tokens(stream, sentFrameCount.getAndIncrement(), List.of(largeToken)));
            if (sentFrameCount.get() == frameCount) {
              sendEnd(agent, from, stream, frameCount);
            }
          }
        };
    try (FakeAgent agent = FakeAgent.start("eng-1", "engines", sendingLargeFrames);
        TestBed bed = TestBed.start("streams.credits = 4", agent);
        Socket caller = sendRequest(bed, TestBed.body("draft", STREAM_MEMBERS))) {
      TestBed.awaitStable(sentFrameCount::get);
      assertThat(sentFrameCount.get()).isGreaterThan(3).isLessThan(frameCount);

      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(caller.getInputStream(), StandardCharsets.UTF_8));
      String line = reader.readLine();
      while (!line.contains("\"count\":" + frameCount)) {
        line = reader.readLine();
      }
    }
  }

  /**
   * The entry must not buffer the tokens of an agent that sends more frames than it has credit for.
   */
  @Test
  void agentThatIgnoresItsCreditIsCanceled() throws Exception {
    FakeAgent.Script ignoringCredit =
        (agent, from, message) -> {
          if (message instanceof Message.Call call) {
            for (int i = 0; i < 2000; i++) {
              from.send(new Message.Tokens(call.stream(), i, List.of("x".repeat(10_000))));
            }
          }
        };
    try (FakeAgent agent = FakeAgent.start("eng-1", "engines", ignoringCredit);
        TestBed bed = TestBed.start("streams.credits = 4\nretries.burst = 0", agent);
        Socket caller = sendRequest(bed, TestBed.body("draft", STREAM_MEMBERS))) {
      TestBed.await(() -> !agent.received(Message.Cancel.class).isEmpty());
      assertThat(caller.isConnected()).isTrue();
    }
  }

  private static Socket sendRequest(TestBed bed, String body) throws Exception {
    Socket caller = new Socket("127.0.0.1", bed.entry.callersAddress().getPort());
    String requestHead =
        "POST /v1/requests HTTP/1.1\r\nHost: e\r\nContent-Length: " + body.length();
    caller
        .getOutputStream()
        .write((requestHead + "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8));
    return caller;
  }
}
