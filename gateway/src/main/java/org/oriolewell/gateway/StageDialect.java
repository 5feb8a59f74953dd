package org.oriolewell.gateway;

import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.stage.PieceOutcome;
import org.oriolewell.core.stage.StageCall;
import org.oriolewell.core.upstream.UpstreamStatement;

/** Encodes calls to the upstreams that run stages, and decodes their answers. */
public interface StageDialect {

  /** An answer of an upstream that could not be decoded. */
  final class MalformedAnswerException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that describes the error in the answer. */
    public MalformedAnswerException(String message) {
      super(message);
    }
  }

  /**
   * Returns the request that runs the pieces of a call.
   *
   * @param now current monotonic time in nanoseconds, from which remaining times are computed
   */
  UpstreamRequest runRequest(StageCall call, long now);

  /**
   * Decodes the body of the answer to a call into one outcome for each item, in their order.
   *
   * @throws MalformedAnswerException if the body can't be decoded
   */
  List<PieceOutcome> decodeOutcomes(StageCall call, byte[] answerBody)
      throws MalformedAnswerException;

  /** Returns the request that frees results at the upstream that holds them. */
  UpstreamRequest releaseRequest(UpstreamInstance producer, List<String> handles);

  /** Returns what the head of an answer states about the upstream that sent it. */
  UpstreamStatement statement(int status, HttpFields answerHeaders);

  /** Returns the IP address and port of the upstream that produced a result and holds it. */
  String producerAddress(String handle);
}
