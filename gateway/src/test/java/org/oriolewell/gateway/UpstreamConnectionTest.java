package org.oriolewell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.net.EventLoop;

/** Tests which answers are whole while their request is still being written. */
@Timeout(30)
class UpstreamConnectionTest {
  /** Output that the endpoint takes before a write has to wait. */
  private static final int OUTPUT_BYTES = 256;

  private static final String HEAD = "HTTP/1.1 200 OK\r\n";

  private final EventLoop loop =
      EventLoop.start(
          "test", EventLog.of("test", InstantSource.system()), Duration.ofSeconds(1), error -> {});
  private final ByteArrayEndPoint endPoint = new ByteArrayEndPoint(new byte[0], OUTPUT_BYTES);
  private final CompletableFuture<String> outcome = new CompletableFuture<>();

  @AfterEach
  void stop() {
    loop.close();
  }

  /** Sends a request whose body the endpoint doesn't take as a whole. */
  private void sendUpload() throws Exception {
    UpstreamConnection.Owner owner =
        new UpstreamConnection.Owner() {
          @Override
          public void onIdle(UpstreamConnection connection) {}

          @Override
          public void onClosed(UpstreamConnection connection) {}
        };
    UpstreamConnection connection =
        new UpstreamConnection(
            endPoint,
            loop::execute,
            loop,
            owner,
            "X-Attempt",
            new AnswerMemory(1 << 20, EventLog.of("test", InstantSource.system())));
    endPoint.setConnection(connection);
    connection.onOpen();
    UpstreamRequest upload =
        new UpstreamRequest("POST", "/x", HttpFields.EMPTY, new byte[2 * OUTPUT_BYTES], null);
    onLoop(() -> connection.send(upload, listener()));
    assertThat(outcome).isNotDone();
  }

  private void onLoop(Runnable task) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          task.run();
          done.complete(null);
        });
    done.get(5, TimeUnit.SECONDS);
  }

  private UpstreamListener listener() {
    return new UpstreamListener() {
      @Override
      public void onHead(int status, HttpFields headers) {}

      @Override
      public void onContent(byte[] content) {}

      @Override
      public void onComplete() {
        outcome.complete("whole");
      }

      @Override
      public void onFailure(boolean mayHaveBeenSent, Throwable cause) {
        outcome.complete("failed");
      }
    };
  }

  private void receive(String input) {
    endPoint.addInput(input);
    endPoint.addInputEOF();
  }

  private void awaitNoOutcome() throws Exception {
    Thread.sleep(100);
    assertThat(outcome).isNotDone();
  }

  /** Guards against part of an answer that passes for whole: the reset has met the upload. */
  @Test
  void answerWithoutLengthIsNotWholeIfItsRequestCannotBeWritten() throws Exception {
    sendUpload();
    receive(HEAD + "\r\npart");
    awaitNoOutcome();
    endPoint.getWriteFlusher().onFail(new IOException("Connection reset by peer"));

    assertThat(outcome.get(5, TimeUnit.SECONDS)).isEqualTo("failed");
  }

  @Test
  void answerWithoutLengthIsWholeWhenItsRequestIsWritten() throws Exception {
    sendUpload();
    receive(HEAD + "\r\nwhole");
    awaitNoOutcome();
    while (!outcome.isDone()) {
      endPoint.takeOutput();
      onLoop(() -> endPoint.getWriteFlusher().completeWrite());
    }

    assertThat(outcome.get(5, TimeUnit.SECONDS)).isEqualTo("whole");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 4\r\n\r\nbody",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
      })
  void answerWithStatedEndIsWholeBeforeItsRequestIsWritten(String answer) throws Exception {
    sendUpload();
    receive(HEAD + answer);

    assertThat(outcome.get(5, TimeUnit.SECONDS)).isEqualTo("whole");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 5\r\n\r\nbody",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        "X-Part"
      })
  void answerWithoutItsStatedEndIsNotWhole(String answer) throws Exception {
    sendUpload();
    receive(HEAD + answer);

    assertThat(outcome.get(5, TimeUnit.SECONDS)).isEqualTo("failed");
  }
}
