package org.oriolewell.core.result;

import java.util.Locale;

/** Kinds of refusals in the callers' API, with their HTTP status. */
public enum ProblemKind {
  /** The request isn't valid JSON, lacks a required member or has an invalid one. */
  INVALID_REQUEST(400),
  /** The configuration has no such pipeline. */
  UNKNOWN_PIPELINE(404),
  /** The configuration has no such workspace. */
  UNKNOWN_WORKSPACE(404),
  /** The deadline is missing, not positive or too long. */
  INVALID_DEADLINE(400),
  /** The request body exceeds the size limit. */
  BODY_TOO_LARGE(413),
  /** The idempotency key was used before with another request body. */
  KEY_CONFLICT(422),
  /** The idempotency key carries no time, or one that is too old or too far in the future. */
  KEY_TIME(400),
  /** The service is overloaded or the workspace's share of it is used up. */
  OVERLOADED(429),
  /** The request can't finish within its deadline. */
  DEADLINE_UNREACHABLE(503),
  /** No upstream of a needed pool is available. */
  NO_UPSTREAM(503),
  /** The entry has not received a configuration yet. */
  NOT_READY(503),
  /** The deadline passed before the request was answered. */
  DEADLINE_EXCEEDED(504),
  /** An upstream failed or its answer is invalid. */
  UPSTREAM_FAILED(502),
  /** It isn't known whether a non-idempotent call ran. */
  OUTCOME_UNKNOWN(502),
  /** The entry is stopping and accepts no new requests. */
  STOPPING(503);

  private final int status;

  ProblemKind(int status) {
    this.status = status;
  }

  /** Returns the HTTP status code of the response. */
  public int status() {
    return status;
  }

  /** Returns the name used in the callers' API, such as {@code no-upstream}. */
  public String apiName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
