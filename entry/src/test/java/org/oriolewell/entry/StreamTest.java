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

/** Guards against streams with gaps, repetitions or a missing end, and against unbounded work. */
class StreamTest {
  private static final int COUNT = 20;
  private static final String STREAM = ",\"stream\":true,\"deadline_ms\":8000";

  private static final FakeAgent.Script ENGINE =
      (agent, from, message) -> {
        if (message instanceof Message.Call call) {
          tokens(from, call, COUNT);
          end(agent, from, call.stream(), COUNT);
        }
      };

  private static void tokens(WireConnection to, Message.Call call, int until) {
    for (long i = call.resumeFrom(); i < until; i++) {
      to.send(new Message.Tokens(call.stream(), i, List.of("t" + i)));
    }
  }

  private static void end(FakeAgent agent, WireConnection to, long stream, long count) {
    to.send(new Message.Result(stream, new byte[0], count, agent.load()));
  }

  /** Returns the data of all events, each with its name. */
  private static List<JsonNode> events(Stream<String> lines) throws Exception {
    List<JsonNode> events = new ArrayList<>();
    String name = "";
    for (String line : lines.toList()) {
      if (line.startsWith("event: ")) {
        name = line.substring(7);
      } else if (line.startsWith("data: ")) {
        events.add(
            ((com.fasterxml.jackson.databind.node.ObjectNode)
                    TestBed.JSON.readTree(line.substring(6)))
                .put("event", name));
      }
    }
    return events;
  }

  private static void assertWhole(List<JsonNode> events, long from) {
    for (int i = 0; i < events.size() - 1; i++) {
      assertThat(events.get(i).path("event").asText()).isEqualTo("token");
      assertThat(events.get(i).path("position").asLong()).isEqualTo(from + i);
      assertThat(events.get(i).path("text").asText()).isEqualTo("t" + (from + i));
    }
    JsonNode end = events.get(events.size() - 1);
    assertThat(end.path("event").asText()).isEqualTo("end");
    assertThat(end.path("outcome").asText()).isEqualTo("answered");
    assertThat(end.path("count").asLong()).isEqualTo(from + events.size() - 1);
  }

  @Test
  void streamIsWholeAndCanBeReadAgainFromPosition() throws Exception {
    try (FakeAgent agent = FakeAgent.start("eng-1", "engines", ENGINE);
        TestBed bed = TestBed.start("", agent)) {
      HttpResponse<Stream<String>> response = bed.openStream(TestBed.body("draft", STREAM)).get();
      String id = response.headers().firstValue("Request-Id").orElseThrow();
      List<JsonNode> events = events(response.body());

      assertThat(events).hasSize(COUNT + 1);
      assertWhole(events, 0);
      List<JsonNode> again =
          events(bed.get("/v1/requests/" + id + "/stream?from=15", false).body().lines());
      assertThat(again).hasSize(COUNT - 15 + 1);
      assertWhole(again, 15);
      assertThat(bed.get("/v1/requests/" + id + "0/stream?from=0", false).statusCode())
          .isEqualTo(400);
    }
  }

  /** A killed engine must cost the caller neither the tokens it has nor the rest. */
  @Test
  void engineKilledMidStreamIsReplacedFromThePositionReached() throws Exception {
    AtomicInteger kills = new AtomicInteger();
    FakeAgent.Script dying =
        (agent, from, message) -> {
          if (message instanceof Message.Call call) {
            if (kills.getAndIncrement() == 0) {
              tokens(from, call, 7);
              agent.cut();
            } else {
              ENGINE.on(agent, from, call);
            }
          }
        };
    try (FakeAgent one = FakeAgent.start("eng-1", "engines", dying);
        FakeAgent two = FakeAgent.start("eng-2", "engines", dying);
        TestBed bed = TestBed.start("", one, two)) {
      HttpResponse<Stream<String>> response = bed.openStream(TestBed.body("draft", STREAM)).get();

      List<JsonNode> events = events(response.body());

      assertThat(events).hasSize(COUNT + 1);
      assertWhole(events, 0);
      List<Message.Call> calls = new ArrayList<>(one.received(Message.Call.class));
      calls.addAll(two.received(Message.Call.class));
      assertThat(calls).extracting(Message.Call::resumeFrom).containsExactlyInAnyOrder(0L, 7L);
    }
  }

  /** The work of a caller that is gone would take capacity from the others. */
  @Test
  void callerThatLeavesCancelsTheUpstreamWork() throws Exception {
    FakeAgent.Script slow =
        (agent, from, message) -> {
          if (message instanceof Message.Call call) {
            tokens(from, call, 3);
          } else if (message instanceof Message.Credit credit) {
            from.send(new Message.Tokens(credit.stream(), 3, List.of("t3")));
          }
        };
    try (FakeAgent agent = FakeAgent.start("eng-1", "engines", slow);
        TestBed bed = TestBed.start("streams.grace_millis = 0\nstreams.credits = 4", agent)) {
      try (Socket caller = open(bed, TestBed.body("draft", STREAM))) {
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
      TestBed.await(() -> bed.entry.inFlight() == 0);
    }
  }

  /** A caller that doesn't read must not make the entry hold its whole answer. */
  @Test
  void callerThatDoesNotReadHoldsBackTheAgent() throws Exception {
    int frames = 300;
    String text = "x".repeat(64 << 10);
    AtomicInteger sent = new AtomicInteger();
    FakeAgent.Script big =
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
          for (int i = 0; i < credits && sent.get() < frames; i++) {
            from.send(new Message.Tokens(stream, sent.getAndIncrement(), List.of(text)));
            if (sent.get() == frames) {
              end(agent, from, stream, frames);
            }
          }
        };
    try (FakeAgent agent = FakeAgent.start("eng-1", "engines", big);
        TestBed bed = TestBed.start("streams.credits = 4", agent);
        Socket caller = open(bed, TestBed.body("draft", STREAM))) {
      TestBed.awaitStable(sent::get);
      assertThat(sent.get()).isGreaterThan(3).isLessThan(frames);

      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(caller.getInputStream(), StandardCharsets.UTF_8));
      String line = reader.readLine();
      while (!line.contains("\"count\":" + frames)) {
        line = reader.readLine();
      }
    }
  }

  /** An agent that ignores its credit would make the entry hold any number of tokens. */
  @Test
  void agentThatIgnoresItsCreditIsCanceled() throws Exception {
    FakeAgent.Script flood =
        (agent, from, message) -> {
          if (message instanceof Message.Call call) {
            for (int i = 0; i < 2000; i++) {
              from.send(new Message.Tokens(call.stream(), i, List.of("x".repeat(10_000))));
            }
          }
        };
    try (FakeAgent agent = FakeAgent.start("eng-1", "engines", flood);
        TestBed bed = TestBed.start("streams.credits = 4\nretries.burst = 0", agent);
        Socket caller = open(bed, TestBed.body("draft", STREAM))) {
      TestBed.await(() -> !agent.received(Message.Cancel.class).isEmpty());
      assertThat(caller.isConnected()).isTrue();
    }
  }

  private static Socket open(TestBed bed, String body) throws Exception {
    Socket caller = new Socket("127.0.0.1", bed.entry.callersAddress().getPort());
    String head = "POST /v1/requests HTTP/1.1\r\nHost: e\r\nContent-Length: " + body.length();
    caller.getOutputStream().write((head + "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8));
    return caller;
  }
}
