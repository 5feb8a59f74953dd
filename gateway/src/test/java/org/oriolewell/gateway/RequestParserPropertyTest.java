package org.oriolewell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.AfterContainer;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.oriolewell.core.overload.BodyRate;
import org.oriolewell.core.route.CallerLimits;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/** Guards against requests that are read differently when their bytes arrive in other parts. */
class RequestParserPropertyTest {
  private static final CallerLimits LIMITS =
      new CallerLimits(4096, 4096, Duration.ofSeconds(5), Duration.ofSeconds(5));

  /** Only its clock is used. */
  private static final EventLoop LOOP =
      EventLoop.start(
          "test", EventLog.of("test", InstantSource.system()), Duration.ofSeconds(1), error -> {});

  @AfterContainer
  static void stop() {
    LOOP.close();
  }

  /** Reads the requests of one connection, each of which is answered at once. */
  private static final class Reader implements RequestAssembler.Receiver {
    private final List<String> results = new ArrayList<>();
    private final CallerInput input = new CallerInput();
    private final RequestAssembler assembler =
        new RequestAssembler(this, LOOP, new BodyRate(0, Duration.ZERO));
    private final RequestParser parser = new RequestParser(assembler, input, 4096);
    private boolean completed;
    private boolean refused;

    private void read(byte[] part, int chunksPerTurn) throws IOException {
      ByteArrayEndPoint endPoint = new ByteArrayEndPoint();
      endPoint.addInput(ByteBuffer.wrap(part));
      while (!refused && input.fill(endPoint) > 0) {
        while (!input.empty() && !refused) {
          assembler.startTurn(chunksPerTurn);
          parser.parse(4096, () -> !refused && !completed && !assembler.yielding());
          if (completed) {
            completed = false;
            assembler.clear();
            parser.reset();
          }
        }
      }
    }

    @Override
    public void onBegin() {}

    @Override
    public void onComplete(CallerRequest request, boolean closeAfterAnswer) {
      completed = true;
      results.add(
          request.method()
              + request.target()
              + request.headers().asString()
              + new String(request.body(), StandardCharsets.ISO_8859_1)
              + closeAfterAnswer);
    }

    @Override
    public void onRefused(int status, String reason) {
      refused = true;
      results.add("refused " + status);
    }

    @Override
    public void onContinueExpected() {}

    @Override
    public boolean readArrived() {
      return true;
    }

    @Override
    public void startTimer(Duration delay, Runnable task) {}

    @Override
    public void stopTimer() {}

    @Override
    public CallerLimits limits() {
      return LIMITS;
    }
  }

  @Provide
  Arbitrary<String> requests() {
    Arbitrary<String> body = Arbitraries.strings().ascii().ofMaxLength(200);
    Arbitrary<String> headers = Arbitraries.of("", "X-A: b\r\n", "Connection: close\r\n", ": \r\n");
    Arbitrary<String> withLength =
        Combinators.combine(headers, body)
            .as(
                (header, text) ->
                    "POST /x HTTP/1.1\r\nHost: h\r\n"
                        + header
                        + "Content-Length: "
                        + text.length()
                        + "\r\n\r\n"
                        + text);
    Arbitrary<String> chunked =
        body.list()
            .ofMaxSize(5)
            .map(
                chunks -> {
                  StringBuilder text =
                      new StringBuilder("PUT /y HTTP/1.1\r\nTransfer-Encoding: chunked\r\n")
                          .append("Host: h\r\n\r\n");
                  for (String chunk : chunks) {
                    if (!chunk.isEmpty()) {
                      text.append(Integer.toHexString(chunk.length())).append("\r\n");
                      text.append(chunk).append("\r\n");
                    }
                  }
                  return text.append("0\r\n\r\n").toString();
                });
    Arbitrary<String> tooLarge =
        Arbitraries.just("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
    Arbitrary<String> garbage = Arbitraries.strings().ascii().ofMaxLength(60);
    return Arbitraries.frequencyOf(
            Tuple.of(5, withLength),
            Tuple.of(5, chunked),
            Tuple.of(1, tooLarge),
            Tuple.of(1, garbage))
        .list()
        .ofMinSize(1)
        .ofMaxSize(2)
        .map(texts -> String.join("", texts));
  }

  @Property(tries = 60)
  void requestsAreReadAlikeSplitAtEveryBoundary(@ForAll("requests") String text)
      throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    Reader whole = new Reader();
    whole.read(bytes, Integer.MAX_VALUE);
    for (int boundary = 1; boundary < bytes.length; boundary++) {
      Reader split = new Reader();
      split.read(Arrays.copyOfRange(bytes, 0, boundary), 1);
      split.read(Arrays.copyOfRange(bytes, boundary, bytes.length), 1);

      assertThat(split.results).as("split at " + boundary).isEqualTo(whole.results);
    }
  }

  @Property(tries = 60)
  void requestsAreReadAlikeByteByByte(@ForAll("requests") String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    Reader whole = new Reader();
    whole.read(bytes, Integer.MAX_VALUE);
    Reader single = new Reader();
    for (byte next : bytes) {
      single.read(new byte[] {next}, 1);
    }

    assertThat(single.results).isEqualTo(whole.results);
  }
}
