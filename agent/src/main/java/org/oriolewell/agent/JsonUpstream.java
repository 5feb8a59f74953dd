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

/** A stage pool or a plain service: one JSON request, one JSON answer with an output. */
final class JsonUpstream implements Upstream {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Pattern OPERATION = Pattern.compile("[A-Za-z0-9_-][A-Za-z0-9_.-]{0,99}");

  private final HttpClient client;
  private final URI base;
  private final Duration timeout;
  private final IntPredicate notExecuted;
  private final int maxOutputBytes;
  private final Function<UpstreamCall, String> path;

  private JsonUpstream(
      HttpClient client,
      URI base,
      Duration timeout,
      IntPredicate notExecuted,
      int maxOutputBytes,
      Function<UpstreamCall, String> path) {
    this.client = client;
    this.base = base;
    this.timeout = timeout;
    this.notExecuted = notExecuted;
    this.maxOutputBytes = maxOutputBytes;
    this.path = path;
  }

  /**
   * Returns a stage pool.
   *
   * @param notExecuted tells which statuses mean that a call did not run
   * @param maxOutputBytes largest output that fits into a frame
   */
  static JsonUpstream stagePool(
      HttpClient client, URI base, Duration timeout, IntPredicate notExecuted, int maxOutputBytes) {
    return new JsonUpstream(
        client, base, timeout, notExecuted, maxOutputBytes, call -> "/v1/process");
  }

  /** Returns a plain service; the parameters are those of {@link #stagePool}. */
  static JsonUpstream service(
      HttpClient client, URI base, Duration timeout, IntPredicate notExecuted, int maxOutputBytes) {
    return new JsonUpstream(
        client,
        base,
        timeout,
        notExecuted,
        maxOutputBytes,
        call -> "/v1/operations/" + call.message().operation());
  }

  @Override
  public String check(UpstreamCall call) {
    // The operation becomes a segment of a URL, so it must not be able to change the path.
    return OPERATION.matcher(call.message().operation()).matches()
        ? ""
        : "the operation is not a name of letters, digits, '.', '_' and '-'";
  }

  @Override
  public Running run(UpstreamCall call, Sink sink) {
    Message.Call message = call.message();
    Request request =
        client
            .newRequest(base)
            .method("POST")
            .path(path.apply(call))
            .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
            .body(new BytesRequestContent("application/json", body(call)));
    String key = message.key();
    if (key != null) {
      request.headers(headers -> headers.put("Idempotency-Key", key));
    }
    request.send(
        new BufferingResponseListener(maxOutputBytes + 1024) {
          @Override
          public void onComplete(Result result) {
            complete(result, getContent(), message.idempotent(), sink);
          }
        });
    return new Running() {
      @Override
      public void cancel() {
        request.abort(new IOException("the dialer no longer wants the answer"));
      }

      @Override
      public void more() {}
    };
  }

  private static byte[] body(UpstreamCall call) {
    Message.Call message = call.message();
    ObjectNode body = JSON.createObjectNode().put("request_id", message.requestId());
    if (message.key() != null) {
      body.put("key", message.key());
    }
    body.put("operation", message.operation()).set("input", call.payload());
    return bytes(body);
  }

  private void complete(Result result, byte[] content, boolean idempotent, Sink sink) {
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
      answer(body, sink);
    } else if (status >= 400 && status < 500 && !idempotent) {
      // The service decided on the call; running it again must not change that decision.
      sink.answered(rejection(status, body), 0);
    } else {
      sink.failed(UpstreamFailure.ofStatus(status, false));
    }
  }

  private void answer(byte[] body, Sink sink) {
    JsonNode output;
    try {
      output = JSON.readTree(body).path("output");
    } catch (IOException e) {
      sink.failed(UpstreamFailure.invalid("it is not JSON"));
      return;
    }
    if (output.isMissingNode()) {
      sink.failed(UpstreamFailure.invalid("it has no output"));
      return;
    }
    byte[] bytes = bytes(output);
    if (bytes.length > maxOutputBytes) {
      sink.failed(
          UpstreamFailure.invalid(
              String.format(
                  Locale.ROOT,
                  "%d bytes exceed the frame limit; raise wire.max_frame_bytes",
                  bytes.length)));
      return;
    }
    sink.answered(bytes, 0);
  }

  private byte[] rejection(int status, byte[] body) {
    ObjectNode output = JSON.createObjectNode().put("upstream_status", status);
    JsonNode content;
    try {
      content = JSON.readTree(body);
    } catch (IOException e) {
      content = JSON.missingNode();
    }
    if (!content.isMissingNode() && bytes(content).length < maxOutputBytes - 100) {
      output.set("body", content);
    }
    return bytes(output);
  }

  private static byte[] bytes(JsonNode node) {
    try {
      return JSON.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON value cannot be written", e);
    }
  }
}
