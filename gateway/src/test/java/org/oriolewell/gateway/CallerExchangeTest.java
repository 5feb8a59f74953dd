package org.oriolewell.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oriolewell.core.overload.BodyRate;
import org.oriolewell.core.route.CallerLimits;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/** Tests which parts of an answer an exchange accepts in which order. */
@Timeout(30)
class CallerExchangeTest {
  private static final byte[] BODY = "body".getBytes(StandardCharsets.US_ASCII);

  private final EventLoop loop =
      EventLoop.start(
          "test", EventLog.of("test", InstantSource.system()), Duration.ofSeconds(1), error -> {});
  private final ByteArrayEndPoint endPoint = new ByteArrayEndPoint();
  private CallerConnection connection;
  private CallerExchange exchange;

  @BeforeEach
  void receiveRequest() throws Exception {
    CompletableFuture<CallerExchange> received = new CompletableFuture<>();
    EventLog log = EventLog.of("test", InstantSource.system());
    CallerResources resources =
        new CallerResources(
            loop,
            new AnswerMemory(1 << 20, log),
            new CallerPressure(loop, 1 << 20, log, (reason, workspace) -> {}),
            new CallerTurns(loop),
            new BodyRate(0, Duration.ZERO));
    connection = new CallerConnection(endPoint, loop::execute, handler(received), resources);
    endPoint.setConnection(connection);
    endPoint.addInput("GET / HTTP/1.1\r\nHost: h.example\r\n\r\n");
    connection.onOpen();
    exchange = received.get(5, TimeUnit.SECONDS);
  }

  @AfterEach
  void stop() {
    loop.close();
  }

  private static CallerConnection.Handler handler(CompletableFuture<CallerExchange> received) {
    return new CallerConnection.Handler() {
      @Override
      public void onRequest(CallerExchange newExchange) {
        received.complete(newExchange);
      }

      @Override
      public CallerLimits limits() {
        return new CallerLimits(4096, 4096, Duration.ofSeconds(5), Duration.ofSeconds(5));
      }

      @Override
      public boolean stopping() {
        return false;
      }

      @Override
      public void onOpened(CallerConnection openedConnection) {}

      @Override
      public void onClosed(CallerConnection closedConnection) {}
    };
  }

  /** Guards against a request that ends without its caller being told. */
  @Test
  void replyAfterHeadOfStreamIsRejectedAndAbortClosesTheConnection() {
    exchange.startStream(200, HttpFields.EMPTY);

    assertThatThrownBy(() -> exchange.reply(500, HttpFields.EMPTY, BODY))
        .isInstanceOf(AnswerStateException.class)
        .hasMessageContaining("reply in state STREAMING");
    assertThat(exchange.ended()).isFalse();
    exchange.abort();
    assertThat(exchange.ended()).isTrue();
    assertThat(endPoint.isOpen()).isFalse();
    assertThat(endPoint.getOutputString()).doesNotContain("HTTP/1.1 500", "0\r\n\r\n");
  }

  @Test
  void partsOfStreamAreRejectedBeforeItsHeadAndAfterItsEnd() {
    assertThatThrownBy(() -> exchange.writeStream(BODY)).isInstanceOf(AnswerStateException.class);
    assertThatThrownBy(exchange::endStream).isInstanceOf(AnswerStateException.class);
    exchange.startStream(200, HttpFields.EMPTY);
    exchange.writeStream(BODY);
    exchange.endStream();

    assertThatThrownBy(() -> exchange.writeStream(BODY)).isInstanceOf(AnswerStateException.class);
    assertThatThrownBy(exchange::endStream).isInstanceOf(AnswerStateException.class);
    exchange.abort();
    assertThat(endPoint.isOpen()).as("connection after its exchange").isTrue();
  }

  @Test
  void outputToCallerThatHasDisconnectedIsDiscarded() {
    exchange.startStream(200, HttpFields.EMPTY);
    connection.close();

    exchange.writeStream(BODY);
    exchange.endStream();
    assertThat(exchange.ended()).isTrue();
    assertThat(endPoint.getOutputString()).doesNotContain("body");
  }
}
