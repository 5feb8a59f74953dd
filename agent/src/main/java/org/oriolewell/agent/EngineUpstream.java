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

/**
 * Client of a model engine: sends one JSON request and reads the tokens as newline-delimited JSON.
 */
final class EngineUpstream implements Upstream {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);

  private final HttpClient client;
  private final URI baseUrl;
  private final Duration timeout;
  private final int defaultMaxTokens;
  private final IntPredicate notExecuted;
  private final int maxLineBytes;
  private final EventLog log;

  EngineUpstream(
      HttpClient client,
      URI baseUrl,
      Duration timeout,
      int defaultMaxTokens,
      IntPredicate notExecuted,
      int maxLineBytes,
      EventLog log) {
    this.client = client;
    this.baseUrl = baseUrl;
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
    return modelName(call) == null
        ? "neither this agent's configuration nor the input names a model for the stage"
        : "";
  }

  private static @Nullable String modelName(UpstreamCall call) {
    StageSpec stageSpec = call.stage();
    if (stageSpec != null && stageSpec.model() != null) {
      return stageSpec.model();
    }
    return call.payload().path("input").path("model").textValue();
  }

  private int maxTokens(UpstreamCall call) {
    StageSpec stageSpec = call.stage();
    int tokenLimit =
        stageSpec == null || stageSpec.maxTokens() <= 0 ? defaultMaxTokens : stageSpec.maxTokens();
    int requestedTokens = call.payload().path("input").path("max_tokens").asInt(tokenLimit);
    return requestedTokens > 0 ? Math.min(requestedTokens, tokenLimit) : tokenLimit;
  }

  private static String prompt(JsonNode payload) {
    JsonNode input = payload.path("input");
    JsonNode promptNode = input.path("prompt");
    String text =
        input.isTextual()
            ? input.textValue()
            : promptNode.isTextual() ? promptNode.textValue() : input.toString();
    JsonNode context = payload.path("context");
    return context.isNull() || context.isMissingNode() ? text : text + "\n\n" + context;
  }

  /**
   * Returns the request id that is sent to the engine. It includes the stage, as several stages of
   * one request may run on the same engine.
   */
  private static String engineRequestId(Message.Call message) {
    return message.requestId() + "-" + message.stage();
  }

  @Override
  public RunningCall run(UpstreamCall call, AnswerSink sink) {
    Message.Call message = call.message();
    ObjectNode body =
        JSON.createObjectNode()
            .put("request_id", engineRequestId(message))
            .put("prompt", prompt(call.payload()))
            .put("max_tokens", maxTokens(call))
            .put("priority", message.priority())
            .put("model", modelName(call))
            .put("resume_from", message.resumeFrom());
    Request request =
        request("/v1/generate", body).timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    GenerationCall generationCall =
        new GenerationCall(request, engineRequestId(message), message, sink);
    request.onResponseContentAsync(generationCall).send(generationCall::handleResult);
    return generationCall;
  }

  private Request request(String path, ObjectNode body) {
    try {
      return client
          .newRequest(baseUrl)
          .method("POST")
          .path(path)
          .body(new BytesRequestContent("application/json", JSON.writeValueAsBytes(body)));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON value cannot be written", e);
    }
  }

  private void cancelAtEngine(String requestId) {
    request("/v1/cancel", JSON.createObjectNode().put("request_id", requestId))
        .timeout(CANCEL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .send(
            result -> {
              if (result.isFailed() || result.getResponse().getStatus() >= 300) {
                log.event(AgentEvent.UPSTREAM_CANCEL_FAILED).with("request", requestId).write();
              }
            });
  }

  /** Handle of one generation at the engine; reads its token stream. */
  private final class GenerationCall implements RunningCall, Response.AsyncContentListener {
    private final Request request;
    private final String engineRequestId;
    private final AnswerSink sink;
    private final TokenLines tokenLines;
    private final AtomicBoolean finished = new AtomicBoolean();
    private volatile @Nullable Runnable readNext;

    GenerationCall(Request request, String engineRequestId, Message.Call message, AnswerSink sink) {
      this.request = request;
      this.engineRequestId = engineRequestId;
      this.sink = sink;
      tokenLines = TokenLines.startingAt(message.resumeFrom(), maxLineBytes);
    }

    @Override
    public void onContent(Response response, Content.Chunk chunk, Runnable readNext) {
      ByteBuffer buffer = chunk.getByteBuffer();
      byte[] bytes = new byte[buffer.remaining()];
      buffer.get(bytes);
      if (response.getStatus() != 200) {
        readNext.run();
        return;
      }
      final long firstPosition = tokenLines.nextPosition();
      List<String> tokens;
      try {
        tokens = tokenLines.read(bytes);
      } catch (TokenLineException e) {
        failOnViolation(e);
        return;
      }
      if (tokens.isEmpty()) {
        readNext.run();
        return;
      }
      this.readNext = readNext;
      sink.tokens(firstPosition, tokens);
    }

    private void failOnViolation(TokenLineException violation) {
      if (finished.compareAndSet(false, true)) {
        sink.failed(UpstreamFailure.ofInvalidAnswer(String.valueOf(violation.getMessage())));
        request.abort(violation);
        cancelAtEngine(engineRequestId);
      }
    }

    void handleResult(Result result) {
      if (!finished.compareAndSet(false, true)) {
        return;
      }
      Throwable failure = result.getFailure();
      int status = result.getResponse().getStatus();
      if (failure != null) {
        sink.failed(UpstreamFailure.of(failure));
      } else if (status != 200) {
        sink.failed(UpstreamFailure.ofStatus(status, notExecuted.test(status)));
      } else if (!tokenLines.complete()) {
        sink.failed(UpstreamFailure.ofInvalidAnswer("the stream ends without its last line"));
      } else {
        sink.answered(new byte[0], tokenLines.nextPosition());
      }
    }

    @Override
    public void cancel() {
      if (finished.compareAndSet(false, true)) {
        cancelAtEngine(engineRequestId);
        request.abort(new IOException("the dialer no longer wants the answer"));
      }
    }

    @Override
    public void requestMore() {
      Runnable pendingRead = readNext;
      readNext = null;
      if (pendingRead != null) {
        pendingRead.run();
      }
    }
  }
}
