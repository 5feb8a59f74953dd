package org.oriolewell.loadtool;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.EOFException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against answers that count as whole although they are not. */
class AnswerDecoderTest {
  private static final String FIRST = "event: token\ndata: {\"position\":0,\"text\":\"a\"}\n\n";
  private static final String SECOND = "event: token\ndata: {\"position\":1,\"text\":\"ü\"}\n\n";

  private static CallResult decode(String type, int status, String body) {
    AnswerDecoder decoder = new AnswerDecoder(type);
    long nanos = 0;
    for (byte part : body.getBytes(StandardCharsets.UTF_8)) {
      decoder.accept(ByteBuffer.wrap(new byte[] {part}), ++nanos);
    }
    return decoder.finish(status, null);
  }

  private static CallResult stream(String body) {
    return decode("text/event-stream", 200, body);
  }

  private static String end(int count) {
    return "event: end\ndata: {\"outcome\":\"answered\",\"count\":" + count + "}\n\n";
  }

  /** Guards against a whole stream that isn't recognised, and against wrong token times. */
  @Test
  void wholeStreamIsAnswered() {
    CallResult result = stream(FIRST + SECOND + end(2));
    assertThat(result.outcome()).isEqualTo(Outcome.ANSWERED);
    assertThat(result.tokens()).isEqualTo(2);
    assertThat(result.gapsNanos())
        .containsExactly((long) SECOND.getBytes(StandardCharsets.UTF_8).length);
  }

  /** Guards against streams with a repeated, missing or uncounted token. */
  @Test
  void incompleteStreamsAreBroken() {
    assertThat(stream(FIRST + FIRST + end(2)).kind()).isEqualTo("position-repeated");
    assertThat(stream(SECOND + end(1)).kind()).isEqualTo("position-missing");
    assertThat(stream(FIRST + end(2)).kind()).isEqualTo("wrong-count");
    assertThat(stream(FIRST + SECOND).kind()).isEqualTo("no-end");
    assertThat(stream(FIRST + SECOND).outcome()).isEqualTo(Outcome.BROKEN);
  }

  /** Guards against a confusion of refusals, which the audit takes at their word. */
  @Test
  void problemsKeepTheirOutcome() {
    String problem = "{\"type\":\"urn:oriolewell:problem:overloaded\",\"outcome\":\"not_run\"}";
    CallResult refused = decode("application/problem+json", 429, problem);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(refused.kind()).isEqualTo("overloaded");

    CallResult inStream =
        stream(FIRST + "event: error\ndata: " + problem.replace("not_run", "unknown") + "\n\n");
    assertThat(inStream.outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(decode("text/html", 502, "<html>").outcome()).isEqualTo(Outcome.FAILED);
  }

  /** Guards against whole answers without output, and lost connections that look answered. */
  @Test
  void answersWithoutOutputAreBroken() {
    String body = "{\"request_id\":\"r\",\"outcome\":\"answered\",\"output\":{},\"stages\":[]}";
    assertThat(decode("application/json", 200, body).outcome()).isEqualTo(Outcome.ANSWERED);
    assertThat(decode("application/json", 200, "{}").outcome()).isEqualTo(Outcome.BROKEN);
    assertThat(new AnswerDecoder("application/json").finish(200, new EOFException()).outcome())
        .isEqualTo(Outcome.BROKEN);
  }
}
