package org.oriolewell.loadtool;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decodes an answer while it arrives: a whole JSON document, server-sent events of an entry, or
 * lines of JSON of an engine.
 */
final class AnswerDecoder {
  /** Kind of an answer without output, as the settling of a key that ran gives it. */
  static final String NO_OUTPUT = "no-output";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String PROBLEM_PREFIX = "urn:oriolewell:problem:";

  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private final List<Long> gaps = new ArrayList<>();
  private final boolean events;
  private final boolean lines;
  private String event = "";
  private long firstToken;
  private long lastToken;
  private int tokens;
  private @Nullable JsonNode end;
  private @Nullable JsonNode error;
  private @Nullable String defect;

  /** Creates a decoder for a media type. */
  AnswerDecoder(String contentType) {
    events = contentType.startsWith("text/event-stream");
    lines = contentType.startsWith("application/x-ndjson");
  }

  /** Takes a part of the body that arrived at a monotonic time. */
  void accept(ByteBuffer part, long nanos) {
    while (part.hasRemaining()) {
      byte next = part.get();
      if ((events || lines) && next == '\n') {
        line(buffer.toString(StandardCharsets.UTF_8), nanos);
        buffer.reset();
      } else {
        buffer.write(next);
      }
    }
  }

  private void line(String line, long nanos) {
    String text = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    if (lines) {
      JsonNode node = parse(text);
      if (node.has("token")) {
        token(node, nanos);
      } else if (node.path("done").asBoolean()) {
        end = node;
      } else {
        error = node;
      }
    } else if (text.startsWith("event:")) {
      event = text.substring("event:".length()).trim();
    } else if (text.startsWith("data:")) {
      data(text.substring("data:".length()).trim(), nanos);
    }
  }

  private void data(String data, long nanos) {
    switch (event) {
      case "token" -> token(parse(data), nanos);
      case "end" -> end = parse(data);
      case "error" -> error = parse(data);
      default -> {}
    }
  }

  private void token(JsonNode node, long nanos) {
    int position = node.path("position").asInt(-1);
    if (position != tokens) {
      defect = "position-" + (position < tokens ? "repeated" : "missing");
    }
    if (tokens == 0) {
      firstToken = nanos;
    } else {
      gaps.add(nanos - lastToken);
    }
    lastToken = nanos;
    tokens++;
  }

  private JsonNode parse(String text) {
    try {
      JsonNode node = JSON.readTree(text);
      if (node != null && !node.isMissingNode()) {
        return node;
      }
    } catch (IOException e) {
      defect = "not-json";
      return JSON.createObjectNode();
    }
    defect = "empty";
    return JSON.createObjectNode();
  }

  /** Returns the result after the last part. */
  CallResult finish(int status, @Nullable Throwable failure) {
    if (failure != null) {
      return result(Outcome.BROKEN, failure.getClass().getSimpleName(), JSON.createObjectNode());
    }
    if (error != null) {
      return refusal(error);
    }
    if ((events || lines) && status == 200) {
      return streamed();
    }
    JsonNode body = parse(buffer.toString(StandardCharsets.UTF_8));
    String told = body.path("outcome").asText("answered");
    if (status != 200 || !told.equals("answered")) {
      return refusal(body);
    }
    boolean whole = defect == null && body.hasNonNull("output");
    return whole
        ? result(Outcome.ANSWERED, "", body)
        : result(Outcome.BROKEN, defect == null ? NO_OUTPUT : defect, body);
  }

  private CallResult streamed() {
    JsonNode last = end;
    if (last == null) {
      return result(Outcome.BROKEN, "no-end", JSON.createObjectNode());
    }
    if (defect == null && last.path("count").asInt(-1) != tokens) {
      defect = "wrong-count";
    }
    return defect == null
        ? result(Outcome.ANSWERED, "", last)
        : result(Outcome.BROKEN, defect, last);
  }

  private CallResult refusal(JsonNode problem) {
    String type = problem.path("type").asText("");
    String kind =
        type.startsWith(PROBLEM_PREFIX)
            ? type.substring(PROBLEM_PREFIX.length())
            : problem.path("error").asText("no-problem-document");
    Outcome outcome =
        switch (problem.path("outcome").asText("")) {
          case "not_run" -> Outcome.NOT_RUN;
          case "unknown" -> Outcome.UNKNOWN;
          default -> Outcome.FAILED;
        };
    return result(outcome, kind, problem);
  }

  private CallResult result(Outcome outcome, String kind, JsonNode body) {
    List<CallResult.StageTime> stages = new ArrayList<>();
    for (JsonNode stage : body.path("stages")) {
      stages.add(
          new CallResult.StageTime(
              stage.path("stage").asText(""),
              stage.path("upstream").asText(""),
              stage.path("ms").asDouble()));
    }
    return new CallResult(
        outcome,
        kind,
        body.path("request_id").asText(""),
        firstToken,
        List.copyOf(gaps),
        tokens,
        List.copyOf(stages));
  }
}
