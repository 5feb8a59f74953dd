package org.oriolewell.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.call.IdempotencyKey;
import org.oriolewell.core.call.InvalidKeyException;
import org.oriolewell.core.config.ConfigDocument;
import org.oriolewell.core.config.PipelineSpec;
import org.oriolewell.core.config.StageSpec;
import org.oriolewell.core.config.WorkspaceSpec;
import org.oriolewell.core.result.ProblemKind;
import org.oriolewell.runtime.http.HttpCall;

/** Parses and validates callers' requests; throws {@link ProblemException} for each invalid one. */
final class RequestParser {
  private static final ObjectMapper SORTING_MAPPER =
      JsonMapper.builder().enable(JsonNodeFeature.WRITE_PROPERTIES_SORTED).build();

  private final Duration maxDeadline;

  RequestParser(Duration maxDeadline) {
    this.maxDeadline = maxDeadline;
  }

  /** Parses the body and headers of {@code POST /v1/requests}. */
  CallerRequest parse(HttpCall call, ConfigDocument config) {
    JsonNode body = body(call);
    String pipeline = text(body, "pipeline");
    PipelineSpec pipelineSpec = config.pipelines().get(pipeline);
    if (pipelineSpec == null || pipelineSpec.stages().isEmpty()) {
      throw ProblemException.of(
          ProblemKind.UNKNOWN_PIPELINE,
          "there is no pipeline '" + pipeline + "'; name a configured one");
    }
    String workspace = text(body, "workspace");
    WorkspaceSpec workspaceSpec = config.workspaces().get(workspace);
    if (workspaceSpec == null) {
      throw ProblemException.of(
          ProblemKind.UNKNOWN_WORKSPACE,
          "there is no workspace '" + workspace + "'; name a configured one");
    }
    JsonNode input = body.get("input");
    if (input == null) {
      throw invalid("the member input is missing; add it");
    }
    return new CallerRequest(
        pipeline,
        config,
        pipelineSpec,
        workspace,
        workspaceSpec.firm(),
        priority(body, workspaceSpec),
        deadline(body, pipelineSpec),
        idempotencyKey(call, body),
        input,
        flag(body, "stream"),
        fingerprint(pipeline, workspace, input));
  }

  /** Parses a request body, which must be a JSON object. */
  static JsonNode body(HttpCall call) {
    try {
      JsonNode body = call.json();
      if (body == null || !body.isObject()) {
        throw invalid("the body is not a JSON object; send one");
      }
      return body;
    } catch (JsonProcessingException e) {
      throw invalid("the body is not valid JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw invalid("the body is not valid JSON; send UTF-8");
    }
  }

  /** Returns the member of a JSON object with the given name, which must be a non-empty string. */
  static String text(JsonNode body, String name) {
    JsonNode member = body.get(name);
    if (member == null || !member.isTextual() || member.textValue().isEmpty()) {
      throw invalid("the member " + name + " is missing or not a string; set it");
    }
    return member.textValue();
  }

  private static boolean flag(JsonNode body, String name) {
    JsonNode member = body.get(name);
    if (isAbsent(member)) {
      return false;
    }
    if (!member.isBoolean()) {
      throw invalid("the member " + name + " is not true or false");
    }
    return member.booleanValue();
  }

  private static int priority(JsonNode body, WorkspaceSpec workspace) {
    JsonNode member = body.get("priority");
    if (isAbsent(member)) {
      return workspace.priority();
    }
    if (!member.isIntegralNumber()
        || !member.canConvertToInt()
        || member.intValue() < 0
        || member.intValue() > 9) {
      throw invalid("the member priority is not an integer from 0 to 9");
    }
    return member.intValue();
  }

  private Duration deadline(JsonNode body, PipelineSpec pipelineSpec) {
    JsonNode member = body.get("deadline_ms");
    long maxMillis = maxDeadline.toMillis();
    long deadlineMillis;
    if (isAbsent(member)) {
      deadlineMillis = pipelineSpec.deadlineMillis();
    } else if (member.isIntegralNumber() && member.canConvertToLong()) {
      deadlineMillis = member.longValue();
    } else {
      deadlineMillis = -1;
    }
    if (deadlineMillis <= 0 || deadlineMillis > maxMillis) {
      throw ProblemException.of(
          ProblemKind.INVALID_DEADLINE,
          "the member deadline_ms is missing or wrong; set an integer from 1 to " + maxMillis);
    }
    long minMillis = pipelineSpec.stages().stream().mapToLong(StageSpec::minMillis).sum();
    if (deadlineMillis < minMillis) {
      throw ProblemException.of(
          ProblemKind.DEADLINE_UNREACHABLE,
          "the stages need at least " + minMillis + " ms; allow more time");
    }
    return Duration.ofMillis(deadlineMillis);
  }

  private static @Nullable String idempotencyKey(HttpCall call, JsonNode body) {
    Optional<String> header = call.header("Idempotency-Key");
    JsonNode member = body.get("idempotency_key");
    if (isAbsent(member)) {
      return header.map(RequestParser::checkedKey).orElse(null);
    }
    String key = checkedKey(text(body, "idempotency_key"));
    if (header.isPresent() && !header.get().equals(key)) {
      throw invalid("the header Idempotency-Key differs from the member idempotency_key");
    }
    return key;
  }

  /** Returns the key if it has the form of an idempotency key, which contains its time of issue. */
  static String checkedKey(String key) {
    try {
      return IdempotencyKey.parse(key).text();
    } catch (InvalidKeyException e) {
      throw ProblemException.of(ProblemKind.KEY_TIME, String.valueOf(e.getMessage()));
    }
  }

  private static boolean isAbsent(@Nullable JsonNode member) {
    return member == null || member.isNull();
  }

  /**
   * Returns a hash of pipeline, workspace and input that does not depend on the order of the
   * input's members.
   */
  private static long fingerprint(String pipeline, String workspace, JsonNode input) {
    try {
      return Hashing.sha256()
          .newHasher()
          .putString(pipeline, StandardCharsets.UTF_8)
          .putByte((byte) 0)
          .putString(workspace, StandardCharsets.UTF_8)
          .putByte((byte) 0)
          .putBytes(SORTING_MAPPER.writeValueAsBytes(input))
          .hash()
          .asLong();
    } catch (JsonProcessingException e) {
      throw invalid("the member input cannot be written as JSON: " + e.getOriginalMessage());
    }
  }

  private static ProblemException invalid(String detail) {
    return ProblemException.of(ProblemKind.INVALID_REQUEST, detail);
  }
}
