package org.oriolewell.gateway;

import java.util.List;
import org.oriolewell.core.roster.UpstreamInstance;
import org.oriolewell.core.stage.PieceOutcome;
import org.oriolewell.core.stage.StageCall;

/** Translates calls to the upstreams of stages. */
public interface StageDialect {

  /** A call that could not be read. */
  final class MalformedAnswerException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a text that says what is wrong. */
    public MalformedAnswerException(String message) {
      super(message);
    }
  }

  /**
   * Returns a call that runs pieces.
   *
   * @param now monotonic time in nanoseconds, against which the deadlines of the items are stated
   */
  UpstreamRequest runRequest(StageCall call, long now);

  /**
   * Reads the answer to a call, one outcome for each item.
   *
   * @throws MalformedAnswerException if it can't be read
   */
  List<PieceOutcome> decodeOutcomes(StageCall call, byte[] answer) throws MalformedAnswerException;

  /** Returns a call that frees results at their maker. */
  UpstreamRequest releaseRequest(UpstreamInstance producer, List<String> handles);

  /** Returns the address of the upstream that keeps a result. */
  String producerAddress(String handle);
}
