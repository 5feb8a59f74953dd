package org.oriolewell.gateway;

import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.placement.PromptSize;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.upstream.UpstreamStatement;

/** Decodes the headers of callers and upstreams, and encodes the gateway's own. */
public interface RequestDialect {

  /**
   * The decoded headers of a caller's request.
   *
   * @param attemptId identifier that the caller gave this attempt; null if it gave none
   * @param host value of the Host header
   * @param callerTimeout time for which the caller waits for an answer; null if not stated
   * @param apiKey API key; null if there is none
   * @param affinityHash hash of the part of the prompt that requests share; 0 if there is none
   * @param sharedPromptParts ids of the prompt's parts but the last, which belongs to the request
   * @param promptSize size of the prompt and of its answer
   * @param pieceCounts number of pieces of each stage, by stage, none negative; larger numbers than
   *     {@code Integer.MAX_VALUE} count as that; empty if the request has no stages
   * @param pieceKey key that is sent with the pieces of stages without inputs; empty if not stated
   * @param lastEventId id of the event after which to resume a stream; null to start a new one
   */
  record Intent(
      @Nullable String attemptId,
      String host,
      @Nullable Duration callerTimeout,
      @Nullable String apiKey,
      long affinityHash,
      List<String> sharedPromptParts,
      PromptSize promptSize,
      List<Integer> pieceCounts,
      String pieceKey,
      @Nullable String lastEventId) {}

  /**
   * Values that the gateway adds to the headers of a request to an upstream.
   *
   * @param remaining time until the request's deadline
   * @param upstream the only upstream that may execute the request
   * @param workspace workspace of the caller; null if the route needs no key
   * @param inputs handles of the stage results that the request reads
   * @param lastEventId id of the event after which to resume a stream; null to keep the caller's
   * @param rank urgency at an engine, from 0 (most urgent) to 9
   */
  record Additions(
      Duration remaining,
      UpstreamInstance upstream,
      @Nullable String workspace,
      List<String> inputs,
      @Nullable String lastEventId,
      int rank) {}

  /**
   * Properties of an upstream's answer that its status and headers state. An answer without the
   * attempt's identifier may belong to an earlier request of the connection, so it proves nothing.
   *
   * @param authentic whether it carries the attempt's identifier and an upstream's seal header
   * @param notExecuted whether it carries the attempt's identifier and states that the upstream did
   *     not and will not execute the request
   * @param misdirected whether it carries the attempt's identifier and states that the address now
   *     belongs to another upstream
   * @param statement what the answer states about the upstream; nothing but a limit unless it is
   *     authentic or not executed
   */
  record AnswerProperties(
      boolean authentic, boolean notExecuted, boolean misdirected, UpstreamStatement statement) {
    /** Properties of an answer that has not been received. */
    static final AnswerProperties NONE =
        new AnswerProperties(false, false, false, UpstreamStatement.NONE);
  }

  /** Decodes a caller's headers; a malformed value counts as missing. */
  Intent decode(HttpFields callerHeaders);

  /** Returns the headers of a request to an upstream, without Content-Length. */
  HttpFields upstreamHeaders(HttpFields callerHeaders, Additions additions);

  /**
   * Checks the status and the headers of the answer to an attempt.
   *
   * @param attemptId identifier of the attempt; null or empty if it has none, which accepts the
   *     first answer of a connection
   */
  AnswerProperties checkAnswer(@Nullable String attemptId, int status, HttpFields headers);

  /** Returns the headers of an answer that the gateway itself sends to a caller. */
  HttpFields gatewayAnswerHeaders(@Nullable String attemptId, @Nullable Duration retryAfter);

  /** Returns the name of the header that carries the identifier of the answered attempt. */
  String attemptIdHeader();
}
