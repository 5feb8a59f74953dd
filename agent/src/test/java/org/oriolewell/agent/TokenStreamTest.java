package org.oriolewell.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oriolewell.runtime.http.HttpCall;
import org.oriolewell.runtime.http.HttpReply;
import org.oriolewell.runtime.wire.Message;
import org.oriolewell.runtime.wire.Message.Outcome;
import org.oriolewell.runtime.wire.Message.RefusalKind;

/** Guards against holes, repeats and unbounded buffers in token streams. */
class TokenStreamTest {
  private FakeUpstream upstream;
  private Agent agent;
  private TestEntry entry;

  @BeforeEach
  void start() throws Exception {
    upstream = FakeUpstream.start();
    agent = AgentFixture.start("engine", upstream.url());
    entry = TestEntry.connect(agent.wireAddress());
  }

  @AfterEach
  void stop() {
    entry.close();
    agent.close();
    upstream.close();
  }

  private static String line(long position) {
    return "{\"position\":" + position + ",\"token\":\"t" + position + "\"}\n";
  }

  private static String end(long count) {
    return "{\"done\":true,\"count\":" + count + "}\n";
  }

  private static CompletableFuture<HttpReply> stream(HttpCall call, String text) {
    call.startStream(200, "application/x-ndjson");
    call.write(text).thenRun(call::endStream);
    return new CompletableFuture<>();
  }

  /** Tokens beyond the credits would fill the dialer's memory; missing ones make holes. */
  @Test
  void tokensWaitForCreditsAndArriveCompleteFromTheResumePosition() throws Exception {
    upstream.generate = call -> stream(call, line(2) + line(3) + line(4) + end(5));
    entry.send(TestEntry.streaming(1, 0, 2));
    HttpCall call = upstream.awaitCall();
    assertThat(FakeUpstream.json(call).path("resume_from").asLong()).isEqualTo(2);
    entry.send(new Message.Ping(1, 0, Message.Load.NONE));
    entry.next(Message.Pong.class);
    assertThat(entry.quiet()).isTrue();

    entry.send(new Message.Credit(1, 10));

    List<String> tokens = new ArrayList<>();
    Message message = entry.next(Message.class);
    while (message instanceof Message.Tokens part) {
      assertThat(part.position()).isEqualTo(2 + tokens.size());
      tokens.addAll(part.items());
      message = entry.next(Message.class);
    }
    assertThat(tokens).containsExactly("t2", "t3", "t4");
    assertThat(((Message.Result) message).count()).isEqualTo(5);
  }

  /** An engine must not go on generating for a dialer that left. */
  @Test
  void dialerGoneMidStreamCancelsAtTheEngine() throws Exception {
    upstream.generate =
        call -> {
          call.startStream(200, "application/x-ndjson");
          call.write(line(0));
          return new CompletableFuture<>();
        };
    entry.send(TestEntry.streaming(1, 5, 0));
    assertThat(entry.next(Message.Tokens.class).items()).containsExactly("t0");
    entry.close();

    assertThat(upstream.cancels.poll(10, TimeUnit.SECONDS)).isEqualTo("request-1-0");
  }

  /** A dead engine's partial stream must not look like a whole answer. */
  @Test
  void engineKilledMidStreamIsRefusedAfterItsTokens() throws Exception {
    upstream.generate =
        call -> {
          call.startStream(200, "application/x-ndjson");
          call.write(line(0) + line(1))
              .thenRun(() -> call.abort(new IllegalStateException("killed")));
          return new CompletableFuture<>();
        };
    entry.send(TestEntry.streaming(1, 5, 0));
    Message message = entry.next(Message.class);
    while (message instanceof Message.Tokens) {
      message = entry.next(Message.class);
    }
    Message.Refused refused = (Message.Refused) message;
    assertThat(refused.kind()).isEqualTo(RefusalKind.UPSTREAM_FAILED);
    assertThat(refused.outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  /** A gap, a repeated position or a wrong count must end the stream. */
  @Test
  void streamsThatBreakTheProtocolAreRefused() throws Exception {
    List<String> streams =
        List.of(
            line(0) + line(2) + end(3),
            line(0) + line(0) + end(1),
            line(0) + end(2),
            line(0),
            "nonsense\n");
    for (int i = 0; i < streams.size(); i++) {
      String text = streams.get(i);
      upstream.generate = call -> stream(call, text);
      entry.send(TestEntry.streaming(i, 5, 0));
      Message message = entry.next(Message.class);
      while (message instanceof Message.Tokens) {
        message = entry.next(Message.class);
      }
      assertThat(((Message.Refused) message).kind())
          .as(text)
          .isEqualTo(RefusalKind.UPSTREAM_FAILED);
    }
  }

  /** A stream that is larger than the waiting tokens' bound must not stall without its dialer. */
  @Test
  void longStreamArrivesWholeWithFewCredits() throws Exception {
    int count = 5000;
    StringBuilder text = new StringBuilder();
    IntStream.range(0, count).forEach(i -> text.append(line(i)));
    upstream.generate = call -> stream(call, text + end(count));
    entry.send(TestEntry.streaming(1, 1, 0));

    long next = 0;
    Message message = entry.next(Message.class);
    while (message instanceof Message.Tokens part) {
      assertThat(part.position()).isEqualTo(next);
      next += part.items().size();
      entry.send(new Message.Credit(1, 1));
      message = entry.next(Message.class);
    }
    assertThat(message).isInstanceOf(Message.Result.class);
    assertThat(next).isEqualTo(count);
  }

  /** The parts in which bytes arrive must not change the tokens. */
  @Property(tries = 200, seed = "42")
  void lineReaderDoesNotDependOnParts(@ForAll @IntRange(min = 1, max = 40) int size)
      throws Exception {
    byte[] bytes = (line(0) + line(1) + line(2) + end(3)).getBytes(StandardCharsets.UTF_8);
    TokenLines lines = TokenLines.from(0, 1000);
    List<String> tokens = new ArrayList<>();
    for (int from = 0; from < bytes.length; from += size) {
      tokens.addAll(
          lines.read(Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + size))));
    }
    assertThat(tokens).containsExactly("t0", "t1", "t2");
    assertThat(lines.done()).isTrue();
  }
}
