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

/** Tests that token streams have no missing or repeated tokens and need no unbounded buffer. */
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

  private static String tokenLine(long position) {
    return "{\"position\":" + position + ",\"token\":\"t" + position + "\"}\n";
  }

  private static String lastLine(long count) {
    return "{\"done\":true,\"count\":" + count + "}\n";
  }

  private static CompletableFuture<HttpReply> replyWithStream(HttpCall call, String streamText) {
    call.startStream(200, "application/x-ndjson");
    call.write(streamText).thenRun(call::endStream);
    return new CompletableFuture<>();
  }

  /** Guards against tokens that are sent without credits or lost while they wait for them. */
  @Test
  void tokensWaitForCreditsAndArriveCompleteFromTheResumePosition() throws Exception {
    upstream.answerGeneration =
        call -> replyWithStream(call, tokenLine(2) + tokenLine(3) + tokenLine(4) + lastLine(5));
    entry.send(TestEntry.streamingCall(1, 0, 2));
    HttpCall call = upstream.awaitCall();
    assertThat(FakeUpstream.json(call).path("resume_from").asLong()).isEqualTo(2);
    entry.send(new Message.Ping(1, 0, Message.Load.NONE));
    entry.nextMessage(Message.Pong.class);
    assertThat(entry.hasNoUnreadMessages()).isTrue();

    entry.send(new Message.Credit(1, 10));

    List<String> tokens = new ArrayList<>();
    Message message = entry.nextMessage(Message.class);
    while (message instanceof Message.Tokens tokensFrame) {
      assertThat(tokensFrame.position()).isEqualTo(2 + tokens.size());
      tokens.addAll(tokensFrame.items());
      message = entry.nextMessage(Message.class);
    }
    assertThat(tokens).containsExactly("t2", "t3", "t4");
    assertThat(((Message.Result) message).count()).isEqualTo(5);
  }

  /** Guards against an engine that continues to generate for a disconnected dialer. */
  @Test
  void dialerGoneMidStreamCancelsAtTheEngine() throws Exception {
    upstream.answerGeneration =
        call -> {
          call.startStream(200, "application/x-ndjson");
          call.write(tokenLine(0));
          return new CompletableFuture<>();
        };
    entry.send(TestEntry.streamingCall(1, 5, 0));
    assertThat(entry.nextMessage(Message.Tokens.class).items()).containsExactly("t0");
    entry.close();

    assertThat(upstream.canceledRequestIds.poll(10, TimeUnit.SECONDS)).isEqualTo("request-1-0");
  }

  /** Guards against a partial stream of a crashed engine that looks like a complete answer. */
  @Test
  void engineKilledMidStreamIsRefusedAfterItsTokens() throws Exception {
    upstream.answerGeneration =
        call -> {
          call.startStream(200, "application/x-ndjson");
          call.write(tokenLine(0) + tokenLine(1))
              .thenRun(() -> call.abort(new IllegalStateException("killed")));
          return new CompletableFuture<>();
        };
    entry.send(TestEntry.streamingCall(1, 5, 0));
    Message message = entry.nextMessage(Message.class);
    while (message instanceof Message.Tokens) {
      message = entry.nextMessage(Message.class);
    }
    Message.Refused refused = (Message.Refused) message;
    assertThat(refused.kind()).isEqualTo(RefusalKind.UPSTREAM_FAILED);
    assertThat(refused.outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  /** Guards against a gap, a repeated position or a wrong count that goes unnoticed. */
  @Test
  void streamsThatBreakTheProtocolAreRefused() throws Exception {
    List<String> streams =
        List.of(
            tokenLine(0) + tokenLine(2) + lastLine(3),
            tokenLine(0) + tokenLine(0) + lastLine(1),
            tokenLine(0) + lastLine(2),
            tokenLine(0),
            "nonsense\n");
    for (int i = 0; i < streams.size(); i++) {
      String text = streams.get(i);
      upstream.answerGeneration = call -> replyWithStream(call, text);
      entry.send(TestEntry.streamingCall(i, 5, 0));
      Message message = entry.nextMessage(Message.class);
      while (message instanceof Message.Tokens) {
        message = entry.nextMessage(Message.class);
      }
      assertThat(((Message.Refused) message).kind())
          .as(text)
          .isEqualTo(RefusalKind.UPSTREAM_FAILED);
    }
  }

  /** Guards against a stalled stream that has more tokens than may wait for credits. */
  @Test
  void longStreamArrivesWholeWithFewCredits() throws Exception {
    int tokenCount = 5000;
    StringBuilder text = new StringBuilder();
    IntStream.range(0, tokenCount).forEach(i -> text.append(tokenLine(i)));
    upstream.answerGeneration = call -> replyWithStream(call, text + lastLine(tokenCount));
    entry.send(TestEntry.streamingCall(1, 1, 0));

    long expectedPosition = 0;
    Message message = entry.nextMessage(Message.class);
    while (message instanceof Message.Tokens tokensFrame) {
      assertThat(tokensFrame.position()).isEqualTo(expectedPosition);
      expectedPosition += tokensFrame.items().size();
      entry.send(new Message.Credit(1, 1));
      message = entry.nextMessage(Message.class);
    }
    assertThat(message).isInstanceOf(Message.Result.class);
    assertThat(expectedPosition).isEqualTo(tokenCount);
  }

  /** Guards against tokens that depend on the chunks in which the bytes are received. */
  @Property(tries = 200, seed = "42")
  void tokensDoNotDependOnChunkSize(@ForAll @IntRange(min = 1, max = 40) int chunkSize)
      throws Exception {
    byte[] bytes =
        (tokenLine(0) + tokenLine(1) + tokenLine(2) + lastLine(3)).getBytes(StandardCharsets.UTF_8);
    TokenLines tokenLines = TokenLines.startingAt(0, 1000);
    List<String> tokens = new ArrayList<>();
    for (int chunkStart = 0; chunkStart < bytes.length; chunkStart += chunkSize) {
      tokens.addAll(
          tokenLines.read(
              Arrays.copyOfRange(
                  bytes, chunkStart, Math.min(bytes.length, chunkStart + chunkSize))));
    }
    assertThat(tokens).containsExactly("t0", "t1", "t2");
    assertThat(tokenLines.complete()).isTrue();
  }
}
