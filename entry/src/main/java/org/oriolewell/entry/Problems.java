package org.oriolewell.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.result.Failure;
import org.oriolewell.core.result.ProblemKind;
import org.oriolewell.runtime.http.BodyMemoryException;
import org.oriolewell.runtime.http.BodyTooLargeException;
import org.oriolewell.runtime.http.HttpReply;

/** Creates the problem documents (RFC 9457) of the callers' API. */
final class Problems {
  /** Prefix of the problem types, before the name of the problem. */
  private static final String TYPE_PREFIX = "urn:oriolewell:problem:";

  private Problems() {}

  /** Returns the members of the problem document that describes a failure. */
  static Map<String, Object> document(Failure failure, @Nullable String requestId) {
    Map<String, Object> document = new LinkedHashMap<>();
    document.put("type", TYPE_PREFIX + failure.kind().apiName());
    document.put("title", failure.kind().apiName().replace('-', ' '));
    document.put("status", failure.kind().status());
    document.put("outcome", failure.outcome().apiName());
    document.put("detail", failure.detail());
    if (requestId != null) {
      document.put("request_id", requestId);
    }
    if (failure.retryAfterMillis() > 0) {
      document.put("retry_after_ms", failure.retryAfterMillis());
    }
    return document;
  }

  /**
   * Returns the HTTP reply that refuses a request, with its problem document and {@code
   * Retry-After}.
   */
  static HttpReply reply(Failure failure, @Nullable String requestId) {
    long retryAfterMillis = failure.retryAfterMillis();
    Map<String, String> headers =
        retryAfterMillis > 0
            ? Map.of("Retry-After", Long.toString((retryAfterMillis + 999) / 1000))
            : Map.of();
    return HttpReply.problem(failure.kind().status(), document(failure, requestId), headers);
  }

  /** Returns the HTTP reply to an exception thrown by a request handler. */
  static HttpReply handlerFailure(Throwable failure) {
    if (failure instanceof ProblemException problem) {
      return reply(problem.failure(), null);
    }
    if (failure instanceof BodyMemoryException) {
      return reply(
          Failure.notRun(ProblemKind.OVERLOADED, String.valueOf(failure.getMessage()), 1000), null);
    }
    if (failure instanceof BodyTooLargeException) {
      return reply(
          Failure.notRun(ProblemKind.BODY_TOO_LARGE, String.valueOf(failure.getMessage())), null);
    }
    return HttpReply.problem(
        500,
        Map.of(
            "type",
            "about:blank",
            "title",
            "internal error",
            "status",
            500,
            "outcome",
            "unknown",
            "detail",
            "the entry failed; report it, and retry with the same idempotency key"),
        Map.of());
  }
}
