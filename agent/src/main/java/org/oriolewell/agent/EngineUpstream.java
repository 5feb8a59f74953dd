package org.oriolewell.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntPredicate;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.runtime.log.EventLog;
import org.oriolewell.runtime.wire.Message;

/** A model engine: one JSON request, tokens as newline-delimited JSON. */
final class EngineUpstream implements Upstream {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);

  private final HttpClient client;
  private final URI base;
  private final Duration timeout;
  private final int defaultMaxTokens;
  private final IntPredicate notExecuted;
  private final int maxLineBytes;
  private final EventLog log;

  EngineUpstream(
      HttpClient client,
      URI base,
      Duration timeout,
      int defaultMaxTokens,
      IntPredicate notExecuted,
      int maxLineBytes,
      EventLog log) {
    this.client = client;
    this.base = base;
    this.timeout = timeout;
    this.defaultMaxTokens = defaultMaxTokens;
    this.notExecuted = notExecuted;
    this.maxLineBytes = maxLineBytes;
    this.log = log;
  }

  @Override
  public String check(UpstreamCall call) {
    if (!call.message().idempotent()) {
      return "an engine has no non-idempotent calls";
    }
    if (call.message().resumeFrom() > 0 && !call.message().streaming()) {
      return "only a streaming call can resume at a position";
    }
    return model(call) == null
        ? "neither this agent's configuration nor the input names a model for the stage"
        : "";
  }

  private static @Nullable String model(UpstreamCall call) {
    StageSpec stage = call.stage();
    if (stage != null && stage.model() != null) {
      return stage.model();
    }
    return call.payload().path("input").path("model").textValue();
  }

  private int maxTokens(UpstreamCall call) {
    StageSpec stage = call.stage();
    int most = stage == null || stage.maxTokens() <= 0 ? defaultMaxTokens : stage.maxTokens();
    int wanted = call.payload().path("input").path("max_tokens").asInt(most);
    return wanted > 0 ? Math.min(wanted, most) : most;
  }

  private static String prompt(JsonNode payload) {
    JsonNode input = payload.path("input");
    JsonNode named = input.path("prompt");
    String text =
        input.isTextual()
            ? input.textValue()
            : named.isTextual() ? named.textValue() : input.toString();
    JsonNode context = payload.path("context");
    return context.isNull() || context.isMissingNode() ? text : text + "\n\n" + context;
  }

  /** Returns the engine's id of a call: stages of one request may run on the same engine. */
  private static String engineId(Message.Call message) {
    return message.requestId() + "-" + message.stage();
  }

  @Override
  public Running run(UpstreamCall call, Sink sink) {
    Message.Call message = call.message();
    ObjectNode body =
        JSON.createObjectNode()
            .put("request_id", engineId(message))
            .put("prompt", prompt(call.payload()))
            .put("max_tokens", maxTokens(call))
            .put("priority", message.priority())
            .put("model", model(call))
            .put("resume_from", message.resumeFrom());
    Request request =
        request("/v1/generate", body).timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    Generation generation = new Generation(request, engineId(message), message, sink);
    request.onResponseContentAsync(generation).send(generation::complete);
    return generation;
  }

  private Request request(String path, ObjectNode body) {
    try {
      return client
          .newRequest(base)
          .method("POST")
          .path(path)
          .body(new BytesRequestContent("application/json", JSON.writeValueAsBytes(body)));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON value cannot be written", e);
    }
  }

  private void cancelAtEngine(String id) {
    request("/v1/cancel", JSON.createObjectNode().put("request_id", id))
        .timeout(CANCEL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .send(
            result -> {
              if (result.isFailed() || result.getResponse().getStatus() >= 300) {
                log.event(AgentEvent.UPSTREAM_CANCEL_FAILED).with("request", id).write();
              }
            });
  }

  /** One call at the engine. */
  private final class Generation implements Running, Response.AsyncContentListener {
    private final Request request;
    private final String id;
    private final Sink sink;
    private final TokenLines lines;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile @Nullable Runnable demander;

    Generation(Request request, String id, Message.Call message, Sink sink) {
      this.request = request;
      this.id = id;
      this.sink = sink;
      lines = TokenLines.from(message.resumeFrom(), maxLineBytes);
    }

    @Override
    public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
      ByteBuffer buffer = chunk.getByteBuffer();
      byte[] bytes = new byte[buffer.remaining()];
      buffer.get(bytes);
      if (response.getStatus() != 200) {
        demander.run();
        return;
      }
      final long position = lines.position();
      List<String> tokens;
      try {
        tokens = lines.read(bytes);
      } catch (TokenLineException e) {
        failInvalid(e);
        return;
      }
      if (tokens.isEmpty()) {
        demander.run();
        return;
      }
      this.demander = demander;
      sink.tokens(position, tokens);
    }

    private void failInvalid(TokenLineException problem) {
      if (ended.compareAndSet(false, true)) {
        sink.failed(UpstreamFailure.invalid(String.valueOf(problem.getMessage())));
        request.abort(problem);
        cancelAtEngine(id);
      }
    }

    void complete(Result result) {
      if (!ended.compareAndSet(false, true)) {
        return;
      }
      Throwable failure = result.getFailure();
      int status = result.getResponse().getStatus();
      if (failure != null) {
        sink.failed(UpstreamFailure.of(failure));
      } else if (status != 200) {
        sink.failed(UpstreamFailure.ofStatus(status, notExecuted.test(status)));
      } else if (!lines.done()) {
        sink.failed(UpstreamFailure.invalid("the stream ends without its last line"));
      } else {
        sink.answered(new byte[0], lines.position());
      }
    }

    @Override
    public void cancel() {
      if (ended.compareAndSet(false, true)) {
        cancelAtEngine(id);
        request.abort(new IOException("the dialer no longer wants the answer"));
      }
    }

    @Override
    public void more() {
      Runnable next = demander;
      demander = null;
      if (next != null) {
        next.run();
      }
    }
  }
}
