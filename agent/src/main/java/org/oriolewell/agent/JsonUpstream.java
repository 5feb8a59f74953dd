package org.oriolewell.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntPredicate;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.oriolewell.runtime.wire.Message;

/** Client of a stage pool or a plain service: sends one JSON request and reads one JSON answer. */
final class JsonUpstream implements Upstream {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Pattern OPERATION_NAME =
      Pattern.compile("[A-Za-z0-9_-][A-Za-z0-9_.-]{0,99}");

  private final HttpClient client;
  private final URI baseUrl;
  private final Duration timeout;
  private final IntPredicate notExecuted;
  private final int maxOutputBytes;
  private final Function<UpstreamCall, String> pathOf;

  private JsonUpstream(
      HttpClient client,
      URI baseUrl,
      Duration timeout,
      IntPredicate notExecuted,
      int maxOutputBytes,
      Function<UpstreamCall, String> pathOf) {
    this.client = client;
    this.baseUrl = baseUrl;
    this.timeout = timeout;
    this.notExecuted = notExecuted;
    this.maxOutputBytes = maxOutputBytes;
    this.pathOf = pathOf;
  }

  /**
   * Returns the client of a stage pool.
   *
   * @param baseUrl base URL of the stage pool
   * @param timeout longest time for one call
   * @param notExecuted returns whether an HTTP status means that a call did not run
   * @param maxOutputBytes largest output in bytes that fits into a frame
   */
  static JsonUpstream stagePool(
      HttpClient client,
      URI baseUrl,
      Duration timeout,
      IntPredicate notExecuted,
      int maxOutputBytes) {
    return new JsonUpstream(
        client, baseUrl, timeout, notExecuted, maxOutputBytes, call -> "/v1/process");
  }

  /** Returns the client of a plain service; see {@link #stagePool} for the parameters. */
  static JsonUpstream service(
      HttpClient client,
      URI baseUrl,
      Duration timeout,
      IntPredicate notExecuted,
      int maxOutputBytes) {
    return new JsonUpstream(
        client,
        baseUrl,
        timeout,
        notExecuted,
        maxOutputBytes,
        call -> "/v1/operations/" + call.message().operation());
  }

  @Override
  public String check(UpstreamCall call) {
    // The operation is a path segment of the URL; a '/' or a leading '.' in it could change the
    // path.
    return OPERATION_NAME.matcher(call.message().operation()).matches()
        ? ""
        : "the operation is not a name of letters, digits, '.', '_' and '-'";
  }

  @Override
  public RunningCall run(UpstreamCall call, AnswerSink sink) {
    Message.Call message = call.message();
    Request request =
        client
            .newRequest(baseUrl)
            .method("POST")
            .path(pathOf.apply(call))
            .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
            .body(new BytesRequestContent("application/json", requestBody(call)));
    String key = message.key();
    if (key != null) {
      request.headers(headers -> headers.put("Idempotency-Key", key));
    }
    request.send(
        new BufferingResponseListener(maxOutputBytes + 1024) {
          @Override
          public void onComplete(Result result) {
            handleResult(result, getContent(), message.idempotent(), sink);
          }
        });
    return new RunningCall() {
      @Override
      public void cancel() {
        request.abort(new IOException("the dialer no longer wants the answer"));
      }

      @Override
      public void requestMore() {}
    };
  }

  private static byte[] requestBody(UpstreamCall call) {
    Message.Call message = call.message();
    ObjectNode requestJson = JSON.createObjectNode().put("request_id", message.requestId());
    if (message.key() != null) {
      requestJson.put("key", message.key());
    }
    requestJson.put("operation", message.operation()).set("input", call.payload());
    return toBytes(requestJson);
  }

  private void handleResult(Result result, byte[] content, boolean idempotent, AnswerSink sink) {
    Throwable failure = result.getFailure();
    if (failure != null) {
      sink.failed(UpstreamFailure.of(failure));
      return;
    }
    int status = result.getResponse().getStatus();
    byte[] body = content == null ? new byte[0] : content;
    if (notExecuted.test(status)) {
      sink.failed(UpstreamFailure.ofStatus(status, true));
    } else if (status >= 200 && status < 300) {
      handleOutput(body, sink);
    } else if (status >= 400 && status < 500 && !idempotent) {
      // The service has rejected the call, which is recorded as its answer: a retry with the same
      // key must get this rejection instead of running again.
      sink.answered(rejectionOutput(status, body), 0);
    } else {
      sink.failed(UpstreamFailure.ofStatus(status, false));
    }
  }

  private void handleOutput(byte[] body, AnswerSink sink) {
    JsonNode output;
    try {
      output = JSON.readTree(body).path("output");
    } catch (IOException e) {
      sink.failed(UpstreamFailure.ofInvalidAnswer("it is not JSON"));
      return;
    }
    if (output.isMissingNode()) {
      sink.failed(UpstreamFailure.ofInvalidAnswer("it has no output"));
      return;
    }
    byte[] outputBytes = toBytes(output);
    if (outputBytes.length > maxOutputBytes) {
      sink.failed(
          UpstreamFailure.ofInvalidAnswer(
              String.format(
                  Locale.ROOT,
                  "%d bytes exceed the frame limit; raise wire.max_frame_bytes",
                  outputBytes.length)));
      return;
    }
    sink.answered(outputBytes, 0);
  }

  private byte[] rejectionOutput(int status, byte[] body) {
    ObjectNode output = JSON.createObjectNode().put("upstream_status", status);
    JsonNode rejectionBody;
    try {
      rejectionBody = JSON.readTree(body);
    } catch (IOException e) {
      rejectionBody = JSON.missingNode();
    }
    if (!rejectionBody.isMissingNode() && toBytes(rejectionBody).length < maxOutputBytes - 100) {
      output.set("body", rejectionBody);
    }
    return toBytes(output);
  }

  private static byte[] toBytes(JsonNode json) {
    try {
      return JSON.writeValueAsBytes(json);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON value cannot be written", e);
    }
  }
}
