package org.oriolewell.gateway;

import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;
import org.oriolewell.core.roster.UpstreamInstance;

/** Translates between the headers on the wire and what the gateway decides with. */
public interface RequestDialect {

  /**
   * What a caller's headers say.
   *
   * @param attemptId identifier of this attempt of the caller; null if the caller sent none
   * @param host value of the Host header
   * @param callerTimeout how long the caller waits; null if it doesn't say
   * @param apiKey API key; null if there is none
   * @param affinityHash hash of the shared part of the prompt; 0 if there is none
   * @param pieceCounts number of pieces of each stage, by stage; empty if there are none
   * @param pieceKey key that the first stages need
   * @param lastEventId event after which a stream goes on; null for a whole stream
   */
  record Intent(
      @Nullable String attemptId,
      String host,
      @Nullable Duration callerTimeout,
      @Nullable String apiKey,
      long affinityHash,
      List<Integer> pieceCounts,
      String pieceKey,
      @Nullable String lastEventId) {}

  /**
   * What the gateway adds to a request on its way to an upstream.
   *
   * @param remaining time that the upstream may take
   * @param upstream upstream that must run the request
   * @param workspace workspace of the caller; null if the route needs no key
   * @param inputs handles of the results that the request reads
   * @param lastEventId event after which a stream goes on; null to keep what the caller sent
   * @param rank urgency at an engine, 0 (first) to 9
   */
  record Additions(
      Duration remaining,
      UpstreamInstance upstream,
      @Nullable String workspace,
      List<String> inputs,
      @Nullable String lastEventId,
      int rank) {}

  /**
   * What an upstream's answer says of itself.
   *
   * @param authentic whether it names the request and carries the upstream's seal
   * @param notExecuted whether the upstream says that the request did not and will not run
   * @param misdirected whether another upstream has the address
   */
  record AnswerProperties(boolean authentic, boolean notExecuted, boolean misdirected) {}

  /** Reads a caller's headers; a value that can't be read counts as missing. */
  Intent decode(HttpFields callerHeaders);

  /** Returns the headers for an upstream, without framing. */
  HttpFields upstreamHeaders(HttpFields callerHeaders, Additions additions);

  /** Reads the head of an answer to an attempt. */
  AnswerProperties checkAnswer(@Nullable String attemptId, int status, HttpFields headers);

  /** Returns the headers of an answer of the gateway itself. */
  HttpFields gatewayAnswerHeaders(@Nullable String attemptId, @Nullable Duration retryAfter);

  /** Returns the header in which an answer names the attempt that it belongs to. */
  String attemptIdHeader();
}
